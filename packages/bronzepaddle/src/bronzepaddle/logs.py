"""The log: one eliot line for each routing or placement decision.

The functions here are the only writers of log lines, so that every line of
a kind has the same fields and ``bronzepaddle explain`` can read them.
"""

import eliot

from bronzepaddle import answers, cells, ids, verdicts


def routing(
    process: ids.MemberId,
    request: answers.Request,
    member: ids.MemberId | None,
    token: ids.Token | None,
    cell_version: ids.ObjectVersion,
    bundle_version: ids.BundleVersion,
    answer: answers.Answer,
    tries: int,
    took_s: float,
) -> None:
    """Log where a request went, and what came of it."""
    eliot.log_message(
        message_type="routing",
        process=process,
        request_id=request.request_id,
        service=request.service,
        key=request.key,
        slot=request.slot,
        owner=member,
        token=token,
        cell_version=cell_version,
        bundle_version=bundle_version,
        priority=request.priority,
        verdict=answer.verdict.value,
        reason=answer.reason.value,
        status=answer.status,
        tries=tries,
        took_s=round(took_s, 6),
    )


def unrouted(
    process: ids.MemberId,
    request_id: ids.RequestId,
    caller: str,
    target: str,
    why: verdicts.Reason,
    detail: str,
) -> None:
    """Log a request that named no service or no key."""
    eliot.log_message(
        message_type="unrouted",
        process=process,
        request_id=request_id,
        caller=caller,
        target=target,
        reason=why.value,
        detail=detail,
    )


def former_name(
    process: ids.MemberId,
    request_id: ids.RequestId,
    caller: str,
    service: ids.ServiceName,
    path: str,
) -> None:
    """Log a caller that still uses a service's former name."""
    eliot.log_message(
        message_type="former-name",
        process=process,
        request_id=request_id,
        caller=caller,
        service=service,
        path=path,
    )


def placement(
    process: ids.MemberId,
    what: str,
    owner: ids.MemberId | None,
    assignment: cells.Assignment,
    cell_version: ids.ObjectVersion,
) -> None:
    """Log slots that got another owner; ``owner`` is the one before."""
    for service, slots in assignment.items():
        heirs: dict[ids.MemberId, list[ids.SlotId]] = {}
        for slot, heir in slots.items():
            heirs.setdefault(heir, []).append(slot)
        for heir, given in heirs.items():
            eliot.log_message(
                message_type="placement",
                process=process,
                what=what,
                service=service,
                slots=given,
                owner=owner,
                heir=heir,
                cell_version=cell_version,
            )


def membership(
    what: str, member: ids.MemberId, cell_version: ids.ObjectVersion
) -> None:
    """Log a change of a member's standing."""
    eliot.log_message(
        message_type="membership",
        what=what,
        member=member,
        cell_version=cell_version,
    )


def task_failed(task: str, error: BaseException) -> None:
    """Log a task of a process that ended by an error."""
    eliot.log_message(message_type="task-failed", task=task, error=repr(error))
