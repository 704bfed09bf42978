"""Whether a request is sent again, and the budget for that.

A request that certainly did not run may be sent again.  Any other only if it
is idempotent, and then only once.  Tries that would add to an overload cost
a budget, a share of the service's traffic, so that retries can't multiply a
flood.
"""

import collections.abc
import dataclasses
import threading
import typing

from bronzepaddle import http_messages, ids, verdicts

BUDGET_SHARE: typing.Final = 0.1
"""Retries that each request earns its service."""

BUDGET_MOST: typing.Final = 20.0
"""Retries that a service may have saved up."""

FIRST_PAUSE_S: typing.Final = 0.005
LONGEST_PAUSE_S: typing.Final = 0.1

MAX_WAITING_THREADS: typing.Final = 48
"""Callers' threads that may wait for another try at one time."""

_PLACEMENT_REASONS: typing.Final = frozenset(
    {
        verdicts.Reason.NOT_OWNER,
        verdicts.Reason.NO_OWNER,
        verdicts.Reason.NO_LEASE,
        verdicts.Reason.NOT_GRANTED,
        verdicts.Reason.MOVING,
        verdicts.Reason.NO_BACKEND,
        verdicts.Reason.PEER_UNREACHABLE,
        verdicts.Reason.CONNECT_FAILED,
    }
)
"""Refusals that end by themselves when ownership has settled."""

_LOAD_REASONS: typing.Final = frozenset(
    {verdicts.Reason.SHED, verdicts.Reason.QUEUE_FULL}
)
"""Refusals for want of room, worth one try at another time."""


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """What the decision rests on; ``left_s`` until the deadline."""

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    idempotent: bool
    repeatable: bool
    left_s: float
    tries: int


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The answer goes to the caller as it is."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """Try again after a pause; ``costs`` if it takes from the budget."""

    pause_s: float
    costs: bool


Decision: typing.TypeAlias = GiveUp | Retry


def decide(known: AttemptResult) -> Decision:
    """Return whether a request is sent again."""
    pause_s = min(FIRST_PAUSE_S * 2 ** (known.tries - 1), LONGEST_PAUSE_S)
    if not known.repeatable or known.left_s <= pause_s:
        return GiveUp()
    match known.verdict:
        case verdicts.Verdict.RAN:
            return GiveUp()
        case verdicts.Verdict.NOT_RUN:
            if known.reason in _PLACEMENT_REASONS:
                return Retry(pause_s, costs=False)
            if known.reason in _LOAD_REASONS and known.tries == 1:
                return Retry(pause_s, costs=True)
            return GiveUp()
        case verdicts.Verdict.MAY_HAVE_RUN:
            if known.idempotent and known.tries == 1:
                return Retry(pause_s, costs=True)
            return GiveUp()
        case _:
            typing.assert_never(known.verdict)


class RetryBudgets:
    """The retries that each service may still spend.

    ``share`` is what each request earns, ``most`` what may be saved up.
    """

    def __init__(
        self, share: float = BUDGET_SHARE, most: float = BUDGET_MOST
    ) -> None:
        self.share = share
        self.most = most
        self.lock = threading.Lock()
        self.saved: dict[ids.ServiceName, float] = {}

    def earn(self, service: ids.ServiceName) -> None:
        """Count a request of a service."""
        with self.lock:
            saved = self.saved.get(service, self.most)
            self.saved[service] = min(self.most, saved + self.share)

    def spend(self, service: ids.ServiceName) -> bool:
        """Take one retry, if there is one."""
        with self.lock:
            saved = self.saved.get(service, self.most)
            if saved < 1.0:
                return False
            self.saved[service] = saved - 1.0
            return True


class RepeatableBody:
    """A request's body, which can be sent again while it is small."""

    def __init__(
        self, body: collections.abc.Iterator[bytes], length: int | None
    ) -> None:
        self.body = body
        self.small = length is not None and length <= http_messages.CHUNK_BYTES
        self.whole: bytes | None = b"" if length == 0 else None
        self.taken = False

    @property
    def repeatable(self) -> bool:
        """Tell whether the body can be sent (again)."""
        return self.small or not self.taken

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Return the body from its start."""
        if not self.small:
            return self._stream()
        if self.whole is None:
            self.whole = b"".join(self.body)
        return iter((self.whole,) if self.whole else ())

    def _stream(self) -> collections.abc.Iterator[bytes]:
        for chunk in self.body:
            self.taken = True
            yield chunk
