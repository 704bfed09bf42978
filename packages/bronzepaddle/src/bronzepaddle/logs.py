"""Structured logging with eliot: one line for each decision or event.

All log lines are written by the functions in this module and, for those on
the configuration, in ``config_logs``, so that all lines of a message type have
the same fields and ``bronzepaddle explain`` can read them.  Each function is
named after the message type that it writes, except ``request_finished``, which
writes "served" or "not-served".
"""

import collections.abc
import dataclasses

import eliot

from bronzepaddle import (
    cells,
    http_messages,
    ids,
    key_ranges,
    store_versions,
    verdicts,
)


def routing(
    process: ids.MemberId,
    request: http_messages.Request,
    member: ids.MemberId | None,
    token: ids.Token | None,
    cell_version: ids.ObjectVersion,
    bundle_version: ids.BundleVersion,
    response: http_messages.Response,
    tries: int,
    took_s: float,
) -> None:
    """Log where a request was routed to, and its outcome."""
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
        verdict=response.verdict.value,
        reason=response.reason.value,
        status=response.status,
        tries=tries,
        took_s=round(took_s, 6),
    )


def unrouted(
    process: ids.MemberId,
    request_id: ids.RequestId,
    caller: str,
    target: str,
    reason: verdicts.Reason,
    detail: str,
) -> None:
    """Log a request that has no service or no key."""
    eliot.log_message(
        message_type="unrouted",
        process=process,
        request_id=request_id,
        caller=caller,
        target=target,
        reason=reason.value,
        detail=detail,
    )


def former_name(
    process: ids.MemberId,
    request_id: ids.RequestId,
    caller: str,
    service: ids.ServiceName,
    path: str,
) -> None:
    """Log a caller that uses a former path prefix of a service."""
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
    previous_owner: ids.MemberId | None,
    assignment: cells.Assignment,
    cell_version: ids.ObjectVersion,
) -> None:
    """Log slots with a new owner, one line for each new owner.

    ``previous_owner`` is None if there was none.  ``what`` is the kind of
    change: a grant, a takeover or a planned move.
    """
    for service, slots in assignment.items():
        slots_by_new_owner: dict[ids.MemberId, list[ids.SlotId]] = {}
        for slot, new_owner in slots.items():
            slots_by_new_owner.setdefault(new_owner, []).append(slot)
        for new_owner, owner_slots in slots_by_new_owner.items():
            eliot.log_message(
                message_type="placement",
                process=process,
                what=what,
                service=service,
                slots=owner_slots,
                owner=previous_owner,
                heir=new_owner,
                cell_version=cell_version,
            )


def membership(
    what: str, member: ids.MemberId, cell_version: ids.ObjectVersion
) -> None:
    """Log that a member joined, was suspended or removed, or returned."""
    eliot.log_message(
        message_type="membership",
        what=what,
        member=member,
        cell_version=cell_version,
    )


def task_failed(task: str, error: BaseException) -> None:
    """Log a background task that failed with an error."""
    eliot.log_message(message_type="task-failed", task=task, error=repr(error))


def dependency(name: str, reached: bool, detail: str) -> None:
    """Log a dependency that became unreachable or reachable again."""
    eliot.log_message(
        message_type="dependency", name=name, reached=reached, detail=detail
    )


def call_failed(what: str, detail: str) -> None:
    """Log a failed call to the store or a peer; it is retried later."""
    eliot.log_message(message_type="call-failed", what=what, detail=detail)


def bad_document(name: str, detail: str) -> None:
    """Log an invalid document; the previous version stays in effect."""
    eliot.log_message(message_type="bad-document", name=name, detail=detail)


def stopped_early(callers_requests: int) -> None:
    """Log that the process ends while requests are in flight.

    ``callers_requests`` is the number of those that callers sent to it.
    """
    eliot.log_message(
        message_type="stopped-early", callers_requests=callers_requests
    )


def call_queued(what: str, waited_s: float) -> None:
    """Log a call to the store that waited long for a thread."""
    eliot.log_message(
        message_type="call-queued", what=what, waited_s=round(waited_s, 3)
    )


def write_failed(name: str, detail: str) -> None:
    """Log a failed write to the store; the next read shows its outcome."""
    eliot.log_message(message_type="write-failed", name=name, detail=detail)


def planned(service: ids.ServiceName, ownership: key_ranges.Ownership) -> None:
    """Log an assignment that was written, as the number of keys by member."""
    key_counts: dict[str, int] = {}
    for key_range in ownership.ranges:
        member = key_range.holder.member
        key_counts[member] = key_counts.get(member, 0) + key_range.size
    eliot.log_message(message_type="planned", service=service, keys=key_counts)


def keys_released(
    first: int, last: int, token: ids.Token, detail: str
) -> None:
    """Log keys that the backend server was told to release."""
    eliot.log_message(
        message_type="keys-released",
        first=first,
        last=last,
        token=token,
        detail=detail,
    )


def grant_ended(
    first: int, last: int, token: ids.Token, evidence: str, left_s: float
) -> None:
    """Log that a replaced grant counts as over.

    ``evidence`` is what shows it, ``left_s`` the rest of the time for which
    the server may hold the keys under the grant.
    """
    eliot.log_message(
        message_type="grant-ended",
        first=first,
        last=last,
        token=token,
        evidence=evidence,
        left_s=round(left_s, 3),
    )


def grant_late(first: int, last: int, token: ids.Token, late_s: float) -> None:
    """Log a grant that may last longer than the lease that it rests on.

    ``late_s`` is by how much.
    """
    eliot.log_message(
        message_type="grant-late",
        first=first,
        last=last,
        token=token,
        late_s=round(late_s, 3),
    )


def keyed_run(
    request_id: ids.RequestId,
    key: int,
    status: int,
    took_s: float,
    left_s: float,
    left_at_end_s: float,
) -> None:
    """Log a keyed request that failed, or outlasted what its grant had left.

    ``left_s`` and ``left_at_end_s`` are what was left of the grant of its key
    when it was sent and when its response arrived.
    """
    eliot.log_message(
        message_type="keyed-run",
        request_id=request_id,
        key=key,
        status=status,
        took_s=round(took_s, 3),
        left_s=round(left_s, 3),
        left_at_end_s=round(left_at_end_s, 3),
    )


def order_failed(order: str, first: int, last: int, detail: str) -> None:
    """Log a grant or release that the backend server did not confirm."""
    eliot.log_message(
        message_type="order-failed",
        order=order,
        first=first,
        last=last,
        detail=detail,
    )


def unroutable(
    request_id: ids.RequestId,
    host: str,
    path: str,
    config_version: ids.BundleVersion,
    response: http_messages.Response,
) -> None:
    """Log a request that was rejected before its service was determined.

    ``config_version`` is the configuration by which it was rejected, 0 if
    there was none.
    """
    eliot.log_message(
        message_type="unroutable",
        request_id=request_id,
        host=host,
        path=path,
        config_version=config_version,
        status=response.status,
        reason=response.reason.value,
    )


def given_up(request_id: ids.RequestId, took_s: float) -> None:
    """Log a request that was aborted because its caller disconnected."""
    eliot.log_message(
        message_type="given-up",
        request_id=request_id,
        took_s=round(took_s, 4),
    )


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt of a request, with the data behind the choice of server.

    ``load`` is the number of requests that were known to run or wait at the
    server, ``heard_ago_s`` the age of its status, ``backlog_s`` the time until
    a request would have started there, as last reported, ``expected_s`` the
    expected run time of this request there, 0 if unknown.
    """

    member: ids.MemberId
    run: str
    load: int
    heard_ago_s: float
    verdict: str
    reason: str
    took_s: float
    backlog_s: float = 0.0
    expected_s: float = 0.0


def request_finished(
    request_id: ids.RequestId,
    route: str,
    service: ids.ServiceName,
    key: int | None,
    response: http_messages.Response,
    attempts: collections.abc.Sequence[Attempt],
    config_version: ids.BundleVersion,
    took_s: float,
) -> None:
    """Log the outcome of a request, with all its attempts."""
    served = response.reason is verdicts.Reason.SERVED
    eliot.log_message(
        message_type="served" if served else "not-served",
        request_id=request_id,
        route=route,
        service=service,
        key=key,
        status=response.status,
        verdict=response.verdict.value,
        reason=response.reason.value,
        retry_after_s=response.retry_after_s,
        detail=response.detail,
        sends=[dataclasses.asdict(attempt) for attempt in attempts],
        config_version=config_version,
        took_s=round(took_s, 4),
    )


@dataclasses.dataclass(frozen=True)
class Queue:
    """The state of a server's queue: running and waiting requests."""

    running: int
    waiting: int
    slots: int


def body_refused(
    request_id: ids.RequestId,
    response: http_messages.Response,
    held_bytes: int,
    limit_bytes: int,
) -> None:
    """Log a request that was refused because of its body."""
    eliot.log_message(
        message_type="body-refused",
        request_id=request_id,
        reason=response.reason.value,
        detail=response.detail,
        held_bytes=held_bytes,
        limit_bytes=limit_bytes,
    )


def slow_caller(reason: str, lag_s: float) -> None:
    """Log a caller that is closed because it sends or reads too slowly."""
    eliot.log_message(
        message_type="slow-caller", reason=reason, lag_s=round(lag_s, 3)
    )


def turned_away(
    request_id: ids.RequestId,
    route: str,
    rank: int,
    response: http_messages.Response,
    queue: Queue,
) -> None:
    """Log a request that was rejected by the process of its server."""
    eliot.log_message(
        message_type="turned-away",
        request_id=request_id,
        route=route,
        rank=rank,
        reason=response.reason.value,
        detail=response.detail,
        retry_after_s=response.retry_after_s,
        queue=dataclasses.asdict(queue),
    )


def lost_at_server(
    request_id: ids.RequestId,
    run: str,
    response: http_messages.Response,
    broken_off: bool,
) -> None:
    """Log a request without a complete response from the backend server.

    ``broken_off``: this process closed the connection because the caller had
    disconnected or the deadline had passed.
    """
    eliot.log_message(
        message_type="lost-at-server",
        request_id=request_id,
        run=run,
        verdict=response.verdict.value,
        reason=response.reason.value,
        detail=response.detail,
        broken_off=broken_off,
    )


def store_era(era: ids.StoreEra, previous: ids.StoreEra) -> None:
    """Log that the store has come back from a copy, in a new era."""
    eliot.log_message(message_type="store-era", era=era, previous=previous)


def lease(
    held: bool, left_s: float, version: store_versions.StoreVersion
) -> None:
    """Log that the lease of this process has started or expired."""
    eliot.log_message(
        message_type="lease",
        held=held,
        left_s=round(left_s, 3),
        ownership_version=version.revision,
        era=version.era,
    )


def ownership_pulled(
    member: ids.MemberId, version: store_versions.StoreVersion
) -> None:
    """Log a version of the ownership that was pulled from a peer."""
    eliot.log_message(
        message_type="ownership-pulled",
        member=member,
        ownership_version=version.revision,
        era=version.era,
    )


def tokens_used_up(
    member: ids.MemberId, replaced: store_versions.StoreVersion
) -> None:
    """Log that the ownership of a new store era can't be written.

    ``replaced`` is the version of the object in that era.
    """
    eliot.log_message(
        message_type="tokens-used-up",
        member=member,
        era=replaced.era,
        revision=replaced.revision,
    )


def ownership_restored(
    member: ids.MemberId,
    ownership: key_ranges.Ownership,
    lost_next_token: ids.Token,
    from_memory: bool,
) -> None:
    """Log the ownership that a member wrote after a new store era.

    ``lost_next_token`` is the next token of the ownership that it rests on.
    ``from_memory``: the member knew that one; else the store's copy had it.
    """
    eliot.log_message(
        message_type="ownership-restored",
        member=member,
        service=ownership.service,
        era=ownership.era,
        ranges=len(ownership.ranges),
        next_token=ownership.next_token,
        lost_next_token=lost_next_token,
        from_memory=from_memory,
    )


def keys_granted(
    first: int, last: int, token: ids.Token, hold_s: float
) -> None:
    """Log keys that were granted to the backend server."""
    eliot.log_message(
        message_type="keys-granted",
        first=first,
        last=last,
        token=token,
        hold_s=round(hold_s, 3),
    )


def peer(member: ids.MemberId, alive: bool, heard_ago_s: float) -> None:
    """Log that a peer is no longer used, or used again."""
    eliot.log_message(
        message_type="peer",
        member=member,
        alive=alive,
        heard_ago_s=round(heard_ago_s, 3),
    )


class Dependency:
    """Logs when a dependency becomes unreachable or reachable again."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reached = True

    def record(self, reached: bool, detail: str) -> None:
        """Record whether the dependency was reached now."""
        if reached != self.reached:
            self.reached = reached
            dependency(self.name, reached, detail)


def server(what: str, run: str, detail: str) -> None:
    """Log a change in the state of the backend server."""
    eliot.log_message(message_type="server", what=what, run=run, detail=detail)


def suspect(fingerprint: str, crashes: int) -> None:
    """Log a request that was in flight when its backend server crashed."""
    eliot.log_message(
        message_type="suspect", fingerprint=fingerprint, crashes=crashes
    )


def zones_evacuated(
    zones: tuple[ids.ZoneName, ...], revision: int, source: str
) -> None:
    """Log the zones that are evacuated from now on, and how they are known.

    ``revision`` is the revision of the store at which they were listed.
    """
    eliot.log_message(
        message_type="zones-evacuated",
        zones=list(zones),
        revision=revision,
        source=source,
    )


def process(what: str, detail: str) -> None:
    """Log a start, stop or reload of this process."""
    eliot.log_message(message_type="process", what=what, detail=detail)


def runtime_stats(
    lag_s: float,
    datagrams: collections.abc.Mapping[str, int],
    store_calls: collections.abc.Mapping[tuple[str, str], int],
    unassigned: int,
    unconfirmed_s: float,
) -> None:
    """Log the event loop lag, message counts and store calls of a process.

    ``unassigned`` counts callers' connections without a thread yet.  The
    newest known read of the configuration in the store was ``unconfirmed_s``
    ago.
    """
    eliot.log_message(
        message_type="runtime-stats",
        lag_s=round(lag_s, 3),
        datagrams=dict(datagrams),
        store_calls={
            " ".join(kind): count for kind, count in store_calls.items()
        },
        unassigned=unassigned,
        unconfirmed_s=round(unconfirmed_s, 3),
    )
