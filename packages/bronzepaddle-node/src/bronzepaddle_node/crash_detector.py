"""Detects requests that crash backend servers and rejects them.

The detector guards against a request that crashes every server that runs it
and that its caller retries at any process.  A request that was in flight when
a server crashed is a suspect; all processes learn of it from the statuses that
they broadcast to each other.  A suspect that gets a complete response is
cleared.  One that was in flight at a second crash is rejected by every process
for a while.

A run of a server lasts from its start until it stops or crashes.  It crashed
if it ended without an announcement that the server drains or leaves.

Unlike in ``crash_isolation``, a suspect does not run exclusively: on servers
with 9 to 18 slots, this would hold up far more work than it would save at a
second crash.

``local_backend`` reports outcomes and crashes; ``router`` and
``local_backend`` check every request before they send it.
"""

import collections
import collections.abc
import typing

from bronzepaddle import clocks, ids, logs, suspects, verdicts
from bronzepaddle_peers import statuses

REPORT_S: typing.Final = 2.0
"""Time for which statuses repeat a change, because a status may be lost."""

MAX_REPORTED: typing.Final = 24
"""Maximum number of changes in a status."""

MAX_LOST: typing.Final = 64
"""Maximum number of lost requests that are remembered during a run."""

CRASH_WINDOW_S: typing.Final = 0.2
"""Tolerance for the order of lost requests, served ones and a crash.

A lost request counts as in flight at the crash unless the run served a request
more than this time after the loss.  A request lost within this time after the
run has ended counts too.
"""

REJECTION_S: typing.Final = 30.0
"""Time for which a request is rejected after its second crash.

It doubles with each further crash.  It is limited so that a request that was
suspected wrongly gets another chance.
"""

_LOST_REASONS: typing.Final = frozenset(
    {verdicts.Reason.BACKEND_LOST, verdicts.Reason.DEADLINE}
)


class CrashDetector:
    """The suspects known to this process; for the event loop only.

    ``on_change`` is called when there is a change to report to the peers: a
    new crash of a request, or a suspect that is cleared.  ``on_crash`` is
    called after a crash of the server on this VM.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self.clock = clock
        self.on_change = on_change
        self.on_crash: collections.abc.Callable[[], None] = lambda: None
        self.suspects = suspects.Suspects()
        # The requests lost at the current run of the server, and when.
        self.lost_requests: collections.deque[
            tuple[suspects.Fingerprint, float]
        ] = collections.deque(maxlen=MAX_LOST)
        self.run_ended_at = float("-inf")
        # Served requests, which the store may still name, and when.
        self.cleared: collections.OrderedDict[suspects.Fingerprint, float] = (
            collections.OrderedDict()
        )
        # By request: its number of crashes, and until when it is reported.
        self.reported_changes: dict[
            suspects.Fingerprint, tuple[int, float]
        ] = {}

    def rejects(
        self,
        service: ids.ServiceName,
        method: str,
        target: str,
        body: bytes | memoryview,
    ) -> bool:
        """Return whether a request must not be sent to any server now."""
        if not self.suspects.records:
            return False
        fingerprint = suspects.fingerprint(service, method, target, body)
        now = self.clock.now()
        record = self.suspects.find(fingerprint, now)
        if record is None:
            return False
        extra_crashes = record.crashes - suspects.CRASHES_BEFORE_REJECTION
        if extra_crashes < 0:
            return False
        return now - record.last_crash_at < REJECTION_S * 2.0**extra_crashes

    def record_outcome(
        self, fingerprint: suspects.Fingerprint, reason: verdicts.Reason
    ) -> None:
        """Record the outcome of a request that was sent to the server.

        A served request shows that the server did not crash, so that requests
        lost well before it are no suspects.  If the served request was a
        suspect, it is cleared.
        """
        now = self.clock.now()
        if reason in _LOST_REASONS:
            if now - self.run_ended_at < CRASH_WINDOW_S:
                self._add_crash(fingerprint)
            else:
                self.lost_requests.append((fingerprint, now))
            return
        if reason is not verdicts.Reason.SERVED:
            return
        while (
            self.lost_requests
            and self.lost_requests[0][1] < now - CRASH_WINDOW_S
        ):
            self.lost_requests.popleft()
        if self.suspects.crashes(fingerprint, now):
            self._clear(fingerprint)
            self._report_change(fingerprint, 0)

    def on_run_crashed(self) -> None:
        """Make the lost requests suspects, as the run ended unannounced."""
        self.run_ended_at = self.clock.now()
        while self.lost_requests:
            self._add_crash(self.lost_requests.popleft()[0])

    def on_new_run(self) -> None:
        """Forget the lost requests: they belong to an earlier run."""
        self.lost_requests.clear()
        self.run_ended_at = float("-inf")

    def _add_crash(self, fingerprint: suspects.Fingerprint) -> None:
        """Count one more crash of a request."""
        now = self.clock.now()
        crashes = self.suspects.crashes(fingerprint, now) + 1
        self.suspects.record(fingerprint, crashes, now)
        logs.suspect(fingerprint, crashes)
        self._report_change(fingerprint, crashes)
        self.on_crash()

    def _clear(self, fingerprint: suspects.Fingerprint) -> None:
        """Forget the crashes of a request that was served."""
        self.suspects.clear(fingerprint)
        self.cleared[fingerprint] = self.clock.now()
        self.cleared.move_to_end(fingerprint)
        if len(self.cleared) > suspects.MAX_SUSPECTS:
            self.cleared.popitem(last=False)

    def learn(
        self, fingerprint: suspects.Fingerprint, crashes: int, at: float
    ) -> None:
        """Record crashes of before, the last one at ``at``.

        Those of a request that was served since are outdated.
        """
        if at <= self.cleared.get(fingerprint, float("-inf")):
            return
        if crashes > self.suspects.crashes(fingerprint, self.clock.now()):
            self.suspects.record(fingerprint, crashes, at)

    def report_all(self) -> None:
        """Report the suspects anew: a process has started that knows none.

        Those with the most crashes come first.
        """
        now = self.clock.now()
        known = sorted(
            self.suspects.current(now), key=lambda entry: entry[1].crashes
        )
        for fingerprint, record in known:
            self.reported_changes.pop(fingerprint, None)
            self.reported_changes[fingerprint] = (
                record.crashes,
                now + REPORT_S,
            )
        if known:
            self.on_change()

    def _report_change(
        self, fingerprint: suspects.Fingerprint, crashes: int
    ) -> None:
        """Report a request's number of crashes in the next statuses."""
        self.reported_changes[fingerprint] = (
            crashes,
            self.clock.now() + REPORT_S,
        )
        self.on_change()

    def recent_changes(self) -> tuple[statuses.SuspectReport, ...]:
        """Return the changes to report in the next status, newest first."""
        now = self.clock.now()
        self.reported_changes = {
            fingerprint: (crashes, until)
            for fingerprint, (crashes, until) in self.reported_changes.items()
            if now < until
        }
        newest = list(self.reported_changes.items())[-MAX_REPORTED:]
        return tuple(
            statuses.SuspectReport(fingerprint, crashes)
            for fingerprint, (crashes, _) in reversed(newest)
        )

    def on_status(self, status: statuses.Status) -> None:
        """Apply the changes that a peer reports.

        A reported count of 0 means that the request was cleared.
        """
        now = self.clock.now()
        for reported in status.suspects:
            fingerprint = suspects.Fingerprint(reported.fingerprint)
            if not reported.crashes:
                self._clear(fingerprint)
            elif reported.crashes > self.suspects.crashes(fingerprint, now):
                self.suspects.record(fingerprint, reported.crashes, now)
