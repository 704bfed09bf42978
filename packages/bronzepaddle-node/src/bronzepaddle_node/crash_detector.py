"""Keeps a request that crashes backend servers from taking many down.

Answers the load pattern of one request that ends each server which begins
it, and that its caller sends again at any process.  What was at the server
when its run ended is suspect in every process, by its statuses; a suspect
that gets a whole answer is cleared; one that was there when a second run
ended is refused for a while, by every process.  ``local_backend`` reports, and
``router`` and ``local_backend`` ask before they send.
"""

import collections
import collections.abc
import typing

from bronzepaddle import clocks, ids, logs, suspects, verdicts
from bronzepaddle_peers import statuses

REPORT_S: typing.Final = 2.0
"""Time for which statuses tell of a change: some may be lost."""

MAX_REPORTED: typing.Final = 24
"""Changes that a status tells of at most."""

MOST_LOST: typing.Final = 64
"""Requests without an answer that are remembered until the run ends."""

TOGETHER_S: typing.Final = 0.2
"""Requests lost within this time of the last answer, or of the end of the
run, were lost with the run."""

REFUSE_S: typing.Final = 30.0
"""Time for which a request is refused after the second crash; twice as long
after each further one, so that one wrongly suspected gets another chance."""

_LOST: typing.Final = frozenset(
    {verdicts.Reason.BACKEND_LOST, verdicts.Reason.DEADLINE}
)


class CrashDetector:
    """The suspects that this process knows; for the event loop only."""

    def __init__(
        self,
        time: clocks.Clock,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self.time = time
        self.changed = changed
        self.known = suspects.Suspects()
        # Lost at the present run of the server, and when.
        self.lost: collections.deque[tuple[suspects.Fingerprint, float]] = (
            collections.deque(maxlen=MOST_LOST)
        )
        self.ended_at = float("-inf")
        self.telling: dict[suspects.Fingerprint, tuple[int, float]] = {}

    def refuses(
        self, service: ids.ServiceName, method: str, target: str, body: bytes
    ) -> bool:
        """Tell whether a request may not be sent to any server now."""
        if not self.known.records:
            return False
        one = suspects.fingerprint(service, method, target, body)
        now = self.time.now()
        standing = self.known.find(one, now)
        if standing is None:
            return False
        beyond = standing.crashes - suspects.CRASHES_BEFORE_REFUSAL
        if beyond < 0:
            return False
        return now - standing.last_crash_at < REFUSE_S * 2.0**beyond

    def answered(
        self, one: suspects.Fingerprint, reason: verdicts.Reason
    ) -> None:
        """Take in how a request that was sent to the server has ended."""
        now = self.time.now()
        if reason in _LOST:
            if now - self.ended_at < TOGETHER_S:
                self._note(one)
            else:
                self.lost.append((one, now))
            return
        if reason is not verdicts.Reason.SERVED:
            return
        while self.lost and self.lost[0][1] < now - TOGETHER_S:
            self.lost.popleft()
        if self.known.crashes(one, now):
            self.known.clear(one)
            self._tell(one, 0)

    def run_ended(self) -> None:
        """Take in that the server's run has ended without a word of leave."""
        self.ended_at = self.time.now()
        while self.lost:
            self._note(self.lost.popleft()[0])

    def new_run(self) -> None:
        """Start anew: what was lost before belongs to an earlier run."""
        self.lost.clear()
        self.ended_at = float("-inf")

    def _note(self, one: suspects.Fingerprint) -> None:
        now = self.time.now()
        crashes = self.known.crashes(one, now) + 1
        self.known.record(one, crashes, now)
        logs.suspect(one, crashes)
        self._tell(one, crashes)

    def _tell(self, one: suspects.Fingerprint, crashes: int) -> None:
        self.telling[one] = (crashes, self.time.now() + REPORT_S)
        self.changed()

    def recent_changes(self) -> tuple[statuses.Suspicion, ...]:
        """Return what a status tells of, the newest changes first."""
        now = self.time.now()
        self.telling = {
            one: (crashes, until)
            for one, (crashes, until) in self.telling.items()
            if now < until
        }
        newest = list(self.telling.items())[-MAX_REPORTED:]
        return tuple(
            statuses.Suspicion(one, crashes)
            for one, (crashes, _) in reversed(newest)
        )

    def on_status(self, status: statuses.Status) -> None:
        """Take in what a peer tells of."""
        now = self.time.now()
        for said in status.suspects:
            one = suspects.Fingerprint(said.fingerprint)
            if not said.crashes:
                self.known.clear(one)
            elif said.crashes > self.known.crashes(one, now):
                self.known.record(one, said.crashes, now)
