"""Reconstructs the history of a request or a key from log lines.

``read_entries`` parses the log lines of any number of processes;
``request_history`` and ``key_history`` select the relevant ones and describe
them in sentences.  The lines are written by ``bronzepaddle.logs``, possibly
by processes of an earlier build.
"""

import collections.abc
import dataclasses
import typing

import msgspec
from bronzepaddle import logs, problems, verdicts

CONTEXT_S: typing.Final = 3.0
"""Time before and after a request whose changes are shown with it.

These changes may explain the outcome of the request.
"""

MAX_CHANGES: typing.Final = 20
"""Maximum number of changes shown for one request."""


class Line(msgspec.Struct, frozen=True):
    """A log line; fields that its message type lacks have their defaults."""

    message_type: str
    timestamp: float
    request_id: str = ""
    route: str = ""
    service: str = ""
    key: int | None = None
    host: str = ""
    path: str = ""
    status: int = 0
    verdict: str = ""
    reason: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    sends: tuple[logs.Attempt, ...] = ()
    took_s: float = 0.0
    queue: logs.Queue | None = None
    run: str = ""
    what: str = ""
    member: str = ""
    alive: bool = True
    held: bool = True
    reached: bool = True
    broken_off: bool = False
    name: str = ""
    heard_ago_s: float = 0.0
    first: int = -1
    last: int = -1
    token: int = 0
    order: str = ""
    evidence: str = ""
    left_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """A log line and its source.

    The source is the text before the JSON object, or else the name of the
    file.
    """

    source: str
    line: Line


def read_entries(source: str, text: str) -> collections.abc.Iterator[Entry]:
    """Yield the log lines in a text and skip everything else.

    ``source`` is used for lines without a prefix; a log collector may have
    put a time or the name of a VM before each line.
    """
    for row in text.splitlines():
        prefix, brace, rest = row.partition("{")
        try:
            line = msgspec.json.decode(brace + rest, type=Line)
        except msgspec.DecodeError:
            continue
        yield Entry(prefix.strip() or source, line)


def request_history(
    entries: collections.abc.Sequence[Entry], request_id: str
) -> collections.abc.Iterator[str]:
    """Yield lines of text that describe what happened to a request.

    Yields none if no log line mentions it.
    """
    request_entries = _sorted_by_time(
        entry for entry in entries if entry.line.request_id == request_id
    )
    if not request_entries:
        return
    for entry in request_entries:
        yield from _describe(entry)
    yield from _nearby_changes(entries, request_entries)


def key_history(
    entries: collections.abc.Sequence[Entry], key: int
) -> collections.abc.Iterator[str]:
    """Yield descriptions of a key's grants and releases in order of time."""
    for entry in _sorted_by_time(entries):
        line = entry.line
        if not line.first <= key <= line.last:
            continue
        match line.message_type:
            case "keys-granted":
                event = f"holds it with token {line.token}"
            case "keys-released":
                event = f"released it (token {line.token})"
            case "grant-ended":
                event = (
                    f"the grant with token {line.token} counts as over "
                    f"({line.evidence}), {line.left_s:.3f} s before its time"
                )
            case "order-failed":
                event = f"{line.order} failed: {line.detail}"
            case _:
                continue
        yield f"{_time_and_source(entry)}: {event}"


def _sorted_by_time(
    entries: collections.abc.Iterable[Entry],
) -> list[Entry]:
    return sorted(entries, key=lambda entry: entry.line.timestamp)


def _time_and_source(entry: Entry) -> str:
    """Return the time and the source of a log line."""
    return f"{entry.line.timestamp:.3f} {entry.source}"


def _describe(entry: Entry) -> collections.abc.Iterator[str]:
    """Yield sentences that describe one log line of a request."""
    line = entry.line
    match line.message_type:
        case "unroutable":
            yield (
                f"{_time_and_source(entry)}: no service for "
                f"{line.host}{line.path}: "
                f"{_explain_reason(line.reason)}; answered {line.status}"
            )
        case "turned-away":
            cause = _explain_reason(line.reason)
            yield f"{_time_and_source(entry)}: not sent to its server: {cause}"
            if line.queue is not None:
                yield (
                    f"  {line.queue.running} of {line.queue.slots} slots in "
                    f"use, {line.queue.waiting} waiting; {line.detail}"
                )
        case "lost-at-server":
            lost = f"{_explain_reason(line.reason)} ({line.detail})"
            cause = "cancelled by this process" if line.broken_off else lost
            yield (
                f"{_time_and_source(entry)}: sent to server run {line.run}, "
                f"no complete response: {cause}"
            )
        case "given-up":
            yield (
                f"{_time_and_source(entry)}: its caller disconnected after "
                f"{line.took_s:.3f} s; "
                "the request was cancelled"
            )
        case "served" | "not-served":
            yield from _describe_result(entry)


def _describe_result(entry: Entry) -> collections.abc.Iterator[str]:
    """Yield sentences on the route, the attempts and the response."""
    line = entry.line
    suffix = "" if line.key is None else f", key {line.key}"
    yield (
        f"{_time_and_source(entry)}: route {line.route}, "
        f"service {line.service}{suffix}"
    )
    for attempt in line.sends:
        yield (
            f"  sent to {attempt.member} "
            f"(its status {attempt.heard_ago_s:.2f} s old, "
            f"{attempt.load} requests there): {attempt.verdict}, "
            f"{_explain_reason(attempt.reason)}, after {attempt.took_s:.3f} s"
        )
    retry_suffix = (
        ""
        if line.retry_after_s is None
        else f", Retry-After {line.retry_after_s:.2f} s"
    )
    yield (
        f"  answered {line.status} after {line.took_s:.3f} s: "
        f"{_explain_reason(line.reason)} ({line.verdict}){retry_suffix}"
    )


def _explain_reason(reason: str) -> str:
    """Return a reason code with its explanation; alone if it is unknown."""
    try:
        parsed = verdicts.Reason(reason)
    except ValueError:
        return reason
    return f"{reason} - {problems.title_of(parsed)}"


def _nearby_changes(
    entries: collections.abc.Sequence[Entry],
    request_entries: collections.abc.Sequence[Entry],
) -> collections.abc.Iterator[str]:
    """Yield changes of the processes involved, shortly before and after.

    ``request_entries`` are the log lines of the request in order of time.
    """
    members = {
        attempt.member
        for entry in request_entries
        for attempt in entry.line.sends
    }
    # The last word of a source is taken as the name of its VM or file.
    sources = members | {
        entry.source.split()[-1] for entry in request_entries if entry.source
    }
    since = request_entries[0].line.timestamp - CONTEXT_S
    until = request_entries[-1].line.timestamp + CONTEXT_S
    count = 0
    for entry in _sorted_by_time(entries):
        if not any(source in entry.source for source in sources):
            continue
        text = _describe_change(entry, members)
        if text and since <= entry.line.timestamp <= until:
            count += 1
            if count > MAX_CHANGES:
                yield "  (more changes follow)"
                return
            yield f"at about that time, {_time_and_source(entry)}: {text}"


def _describe_change(
    entry: Entry, members: collections.abc.Container[str]
) -> str | None:
    """Describe the change in a log line; None if it isn't about a change."""
    line = entry.line
    match line.message_type:
        case "process":
            return f"the process {line.what}"
        case "server":
            return f"its server {line.what} {line.detail}".rstrip()
        case "lease":
            return (
                "the lease is valid" if line.held else "the lease has expired"
            )
        case "dependency":
            state = "reached again" if line.reached else "not reached"
            return f"{line.name} {state}: {line.detail}"
        case "peer" if line.member in members:
            state = "responds again" if line.alive else "silent"
            return f"{line.member} {state} ({line.heard_ago_s:.1f} s)"
        case _:
            return None
