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
"""Time before and after a request in which changes may have affected it."""

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


@dataclasses.dataclass(frozen=True)
class Entry:
    """A log line and its source: the text before it, or else its file."""

    source: str
    line: Line


def read_entries(source: str, text: str) -> collections.abc.Iterator[Entry]:
    """Yield the log lines in a text and skip everything else.

    A log collector may have put a time or the name of a VM before each line.
    """
    for row in text.splitlines():
        before, brace, rest = row.partition("{")
        try:
            line = msgspec.json.decode(brace + rest, type=Line)
        except msgspec.DecodeError:
            continue
        yield Entry(before.strip() or source, line)


def request_history(
    entries: collections.abc.Sequence[Entry], request_id: str
) -> collections.abc.Iterator[str]:
    """Yield sentences on one request; none if no line mentions it."""
    own = _by_time(one for one in entries if one.line.request_id == request_id)
    if not own:
        return
    for entry in own:
        yield from _describe(entry)
    yield from _nearby_changes(entries, own)


def key_history(
    entries: collections.abc.Sequence[Entry], wanted: int
) -> collections.abc.Iterator[str]:
    """Yield the grants and releases of a key in order of time."""
    for entry in _by_time(entries):
        line = entry.line
        if not line.first <= wanted <= line.last:
            continue
        match line.message_type:
            case "keys-granted":
                what = f"holds it by token {line.token}"
            case "keys-released":
                what = f"released it (token {line.token})"
            case "order-failed":
                what = f"{line.order} failed: {line.detail}"
            case _:
                continue
        yield f"{_when(entry)}: {what}"


def _by_time(
    entries: collections.abc.Iterable[Entry],
) -> list[Entry]:
    return sorted(entries, key=lambda one: one.line.timestamp)


def _when(entry: Entry) -> str:
    return f"{entry.line.timestamp:.3f} {entry.source}"


def _describe(entry: Entry) -> collections.abc.Iterator[str]:
    """Yield sentences that describe one log line of a request."""
    line = entry.line
    match line.message_type:
        case "unroutable":
            yield (
                f"{_when(entry)}: no service for {line.host}{line.path}: "
                f"{_explain_reason(line.reason)}; answered {line.status}"
            )
        case "turned-away":
            why = _explain_reason(line.reason)
            yield f"{_when(entry)}: not sent to its server: {why}"
            if line.queue is not None:
                yield (
                    f"  {line.queue.running} of {line.queue.slots} slots in "
                    f"use, {line.queue.waiting} waiting; {line.detail}"
                )
        case "lost-at-server":
            lost = f"{_explain_reason(line.reason)} ({line.detail})"
            why = "cancelled by this process" if line.broken_off else lost
            yield (
                f"{_when(entry)}: sent to server run {line.run}, "
                f"no whole answer: {why}"
            )
        case "given-up":
            yield (
                f"{_when(entry)}: its caller left after {line.took_s:.3f} s; "
                "the request was cancelled"
            )
        case "served" | "not-served":
            yield from _describe_result(entry)


def _describe_result(entry: Entry) -> collections.abc.Iterator[str]:
    line = entry.line
    suffix = "" if line.key is None else f", key {line.key}"
    yield f"{_when(entry)}: route {line.route}, service {line.service}{suffix}"
    for send in line.sends:
        yield (
            f"  sent to {send.member} (its status {send.heard_ago_s:.2f} s "
            f"old, {send.load} requests there): {send.verdict}, "
            f"{_explain_reason(send.reason)}, after {send.took_s:.3f} s"
        )
    retry_suffix = (
        ""
        if line.retry_after_s is None
        else f", to come back after {line.retry_after_s:.2f} s"
    )
    yield (
        f"  answered {line.status} after {line.took_s:.3f} s: "
        f"{_explain_reason(line.reason)} ({line.verdict}){retry_suffix}"
    )


def _explain_reason(reason: str) -> str:
    """Return a reason code with its explanation."""
    try:
        known = verdicts.Reason(reason)
    except ValueError:
        return reason
    return f"{reason} - {problems.title_of(known)}"


def _nearby_changes(
    entries: collections.abc.Sequence[Entry],
    own: collections.abc.Sequence[Entry],
) -> collections.abc.Iterator[str]:
    """Yield changes in the processes involved, around the request."""
    members = {send.member for one in own for send in one.line.sends}
    sources = members | {one.source.split()[-1] for one in own if one.source}
    since = own[0].line.timestamp - CONTEXT_S
    until = own[-1].line.timestamp + CONTEXT_S
    count = 0
    for entry in _by_time(entries):
        if not any(source in entry.source for source in sources):
            continue
        text = _describe_change(entry, members)
        if text and since <= entry.line.timestamp <= until:
            count += 1
            if count > MAX_CHANGES:
                yield "  (more changes follow)"
                return
            yield f"around it, {_when(entry)}: {text}"


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
            return "the lease holds" if line.held else "the lease has run out"
        case "dependency":
            now = "reached again" if line.reached else "not reached"
            return f"{line.name} {now}: {line.detail}"
        case "peer" if line.member in members:
            now = "responds again" if line.alive else "silent"
            return f"{line.member} {now} ({line.heard_ago_s:.1f} s)"
        case _:
            return None
