"""The log: one eliot line for each routing or placement decision.

The functions here are the only writers of log lines, so that every line of
a kind has the same fields and ``bronzepaddle explain`` can read them.
"""

import eliot

from bronzepaddle import answers, cells, ids, keyranges, verdicts


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


def dependency(name: str, reached: bool, detail: str) -> None:
    """Log a dependency that was lost or is back."""
    eliot.log_message(
        message_type="dependency", name=name, reached=reached, detail=detail
    )


def bad_document(name: str, detail: str) -> None:
    """Log a document that can't be used; what was in force stays so."""
    eliot.log_message(message_type="bad-document", name=name, detail=detail)


def write_failed(name: str, detail: str) -> None:
    """Log a write to the store without success; the next read decides."""
    eliot.log_message(message_type="write-failed", name=name, detail=detail)


def planned(service: ids.ServiceName, after: keyranges.Ownership) -> None:
    """Log a plan that was written: how many keys each member has."""
    sizes: dict[str, int] = {}
    for one in after.ranges:
        member = one.holder.member
        sizes[member] = sizes.get(member, 0) + one.size
    eliot.log_message(message_type="planned", service=service, keys=sizes)


def keys_released(
    first: int, last: int, token: ids.Token, detail: str
) -> None:
    """Log keys that the backend server was told to give up."""
    eliot.log_message(
        message_type="keys-released",
        first=first,
        last=last,
        token=token,
        detail=detail,
    )


def order_failed(order: str, first: int, last: int, detail: str) -> None:
    """Log an order to the backend server that has no good answer."""
    eliot.log_message(
        message_type="order-failed",
        order=order,
        first=first,
        last=last,
        detail=detail,
    )


def not_served(
    request_id: ids.RequestId,
    route: str,
    answer: answers.Answer,
    tries: int,
    took_s: float,
) -> None:
    """Log a request that was refused or failed, and why."""
    eliot.log_message(
        message_type="not-served",
        request_id=request_id,
        route=route,
        server=answer.server,
        status=answer.status,
        verdict=answer.verdict.value,
        reason=answer.reason.value,
        detail=answer.detail,
        tries=tries,
        took_s=round(took_s, 4),
    )


def server(what: str, run: str, detail: str) -> None:
    """Log a change of what is known of the backend server."""
    eliot.log_message(message_type="server", what=what, run=run, detail=detail)


def suspect(fingerprint: str, crashes: int) -> None:
    """Log a request that was at a server when its run ended."""
    eliot.log_message(
        message_type="suspect", fingerprint=fingerprint, crashes=crashes
    )


def in_force(version: ids.BundleVersion, source: str) -> None:
    """Log the configuration that is in force from now on."""
    eliot.log_message(message_type="in-force", version=version, source=source)


def process(what: str, detail: str) -> None:
    """Log a start, a stop or a reload of this process."""
    eliot.log_message(message_type="process", what=what, detail=detail)
