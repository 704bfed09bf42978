"""Retry decisions and retry budgets.

A request that certainly did not run may be retried.  A request that may have
run is retried only if it is idempotent, and only once.  Retries that would
add load to an overloaded service consume its retry budget, which is a share
of its traffic, so that retries can't multiply a flood of requests.
"""

import collections.abc
import dataclasses
import threading
import typing

from bronzepaddle import http_messages, ids, verdicts

BUDGET_SHARE: typing.Final = 0.1
"""Fraction of a retry that each request adds to the budget of its service."""

MAX_BUDGET: typing.Final = 20.0
"""Maximum number of retries in the budget of a service."""

MIN_BACKOFF_S: typing.Final = 0.005
"""Pause before the first retry; it doubles with each further retry."""

MAX_BACKOFF_S: typing.Final = 0.1

MAX_WAITING_THREADS: typing.Final = 48
"""Maximum number of request threads that wait for a retry."""

_TRANSIENT_REASONS: typing.Final = frozenset(
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
"""Rejections by a process that can't serve the request at the moment; they end
by themselves, at the latest when the keys have a new owner."""

_LOAD_REASONS: typing.Final = frozenset(
    {verdicts.Reason.SHED, verdicts.Reason.QUEUE_FULL}
)
"""Rejections due to load, worth one retry."""


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The outcome of an attempt, as far as the retry decision needs it.

    ``repeatable`` is set if the request body can be sent again,
    ``time_left_s`` is the time until the deadline, ``attempts`` the number of
    attempts so far.
    """

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    idempotent: bool
    repeatable: bool
    time_left_s: float
    attempts: int


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Do not retry; the response is returned to the caller."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """Retry after the backoff; ``uses_budget`` if it consumes the budget."""

    backoff_s: float
    uses_budget: bool


Decision: typing.TypeAlias = GiveUp | Retry


def decide(attempt: AttemptResult) -> Decision:
    """Decide whether a request is retried, with exponential backoff."""
    backoff_s = min(MIN_BACKOFF_S * 2 ** (attempt.attempts - 1), MAX_BACKOFF_S)
    if not attempt.repeatable or attempt.time_left_s <= backoff_s:
        return GiveUp()
    match attempt.verdict:
        case verdicts.Verdict.RAN:
            return GiveUp()
        case verdicts.Verdict.NOT_RUN:
            if attempt.reason in _TRANSIENT_REASONS:
                return Retry(backoff_s, uses_budget=False)
            if attempt.reason in _LOAD_REASONS and attempt.attempts == 1:
                return Retry(backoff_s, uses_budget=True)
            return GiveUp()
        case verdicts.Verdict.MAY_HAVE_RUN:
            if attempt.idempotent and attempt.attempts == 1:
                return Retry(backoff_s, uses_budget=True)
            return GiveUp()
        case _:
            typing.assert_never(attempt.verdict)


class RetryBudgets:
    """The retry budget of each service; thread-safe.

    Each request adds ``share`` to the budget of its service, up to
    ``max_budget``.
    """

    def __init__(
        self, share: float = BUDGET_SHARE, max_budget: float = MAX_BUDGET
    ) -> None:
        self.share = share
        self.max_budget = max_budget
        self.lock = threading.Lock()
        self.remaining: dict[ids.ServiceName, float] = {}

    def earn(self, service: ids.ServiceName) -> None:
        """Add one request's share to the budget of its service."""
        with self.lock:
            remaining = self.remaining.get(service, self.max_budget)
            self.remaining[service] = min(
                self.max_budget, remaining + self.share
            )

    def spend(self, service: ids.ServiceName) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        with self.lock:
            remaining = self.remaining.get(service, self.max_budget)
            if remaining < 1.0:
                return False
            self.remaining[service] = remaining - 1.0
            return True


class RequestBody:
    """A request body that can be sent again if it is small.

    A body of at most one chunk is kept, so that it can be sent repeatedly.
    A larger one, or one of unknown length, is streamed and can be sent only
    once.
    """

    def __init__(
        self, body: collections.abc.Iterator[bytes], length: int | None
    ) -> None:
        self.body = body
        self.small = length is not None and length <= http_messages.CHUNK_BYTES
        self.content: bytes | None = b"" if length == 0 else None
        self.streaming = False

    @property
    def repeatable(self) -> bool:
        """Return whether the body can be sent from its start."""
        return self.small or not self.streaming

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Return the body from its start."""
        if not self.small:
            return self._stream()
        if self.content is None:
            self.content = b"".join(self.body)
        return iter((self.content,) if self.content else ())

    def _stream(self) -> collections.abc.Iterator[bytes]:
        for chunk in self.body:
            self.streaming = True
            yield chunk
