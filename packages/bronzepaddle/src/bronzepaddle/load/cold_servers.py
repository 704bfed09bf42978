"""How many requests a cold server is sent, and when the next one may be.

The load pattern is a restart: a server that has just started, or has lost its
caches, crashes under the load that it bore when it was warm.  Then it starts
again, cold again, and crashes again; if all servers restart together, none
ever serves.  A cold server is therefore sent a limited number of requests in
any second, so that it lives until it is warm.

``StartLimit`` is told when the server is cold and of each request that is
sent, and says when the next one may be sent.  ``server_queue`` decides with it
which requests wait and which are rejected.  It belongs to the process beside
the server, which alone sends to it, and outlives the runs of the server: a
new run counts what the run before it was sent.
"""

import collections
import math
import random
import typing

WINDOW_S: typing.Final = 1.0
"""Length of the sliding window in which the requests are counted."""

MIN_START_SHARE: typing.Final = 0.1
"""Share of the rate that is assumed to be available to the least urgent
requests, whatever the more urgent ones use."""

MIN_STARTS: typing.Final = 1
"""Minimum number of requests in a window, however low the rate is."""


class StartLimit:
    """The limit on the requests that are sent to one server.

    ``created_at`` is the time at which this process started to send.  What an
    earlier process sent to the server is not known; therefore a cold server
    counts as having had as many requests at that time as it tolerates.

    ``rate`` is the number of requests per second that a cold server of the
    service tolerates, 0 if there is no limit, None as long as the
    configuration is not known.
    """

    def __init__(self, created_at: float, rng: random.Random) -> None:
        self.created_at = created_at
        self.rng = rng
        self.rate: float | None = None
        self.cold_until = -math.inf
        # Times of the requests in the last window, in order; the times of
        # requests to a warm server count once it is cold.
        self.starts: collections.deque[float] = collections.deque()
        # Number of requests rejected for lack of room.
        self.rejected = 0

    def set_cold(self, left_s: float, now: float) -> None:
        """Record that the server is cold for a time from now; 0 if warm."""
        self.cold_until = now + left_s if left_s > 0 else -math.inf

    def is_unknown(self, now: float) -> bool:
        """Return whether the server is cold and its limit is not known."""
        return self.rate is None and now < self.cold_until

    def starts_per_s(self, now: float) -> float:
        """Return the limit in requests per second, 0 if there is none."""
        if not self.rate or now >= self.cold_until:
            return 0.0
        return float(self._max_starts())

    def _max_starts(self) -> int:
        """Return the maximum number of requests in a window."""
        return max(MIN_STARTS, round(self.rate or 0.0))

    def record_start(self, now: float) -> None:
        """Record that a request is sent."""
        self._forget_old(now)
        self.starts.append(now)

    def take_back(self, started_at: float) -> None:
        """Record that a request counted at a time was not sent after all."""
        if started_at in self.starts:
            self.starts.remove(started_at)

    def _forget_old(self, now: float) -> None:
        while self.starts and self.starts[0] <= now - WINDOW_S:
            self.starts.popleft()

    def earliest_start(self, now: float, ahead: int = 0) -> float:
        """Return the time at which a request may be sent.

        ``ahead`` requests are sent before it, each as early as possible.
        """
        if not self.starts_per_s(now):
            return now
        max_starts = self._max_starts()
        full_windows, position = divmod(ahead, max_starts)
        # The start that has to leave the window first.
        known = len(self.starts)
        index = known - max_starts + position
        leaving = self.created_at if index < 0 else self.starts[index]
        first_round_at = max(now, leaving + WINDOW_S)
        start_at = first_round_at + full_windows * WINDOW_S
        return max(now, min(start_at, self.cold_until))

    def expected_wait_s(
        self, now: float, ahead: int, used_per_s: float
    ) -> float:
        """Return the expected time until a request is sent.

        ``ahead`` requests that wait already are sent before it, and so are
        those that arrive meanwhile and are more urgent, ``used_per_s``.
        """
        starts_per_s = self.starts_per_s(now)
        if not starts_per_s:
            return 0.0
        share = max(MIN_START_SHARE, 1 - used_per_s / starts_per_s)
        return (self.earliest_start(now, ahead) - now) / share

    def room_in_s(self, now: float, room_at: float, returning: float) -> float:
        """Return after what time a rejected request should come again.

        ``room_at`` is the time at which there is room for it.  ``returning``
        requests were rejected recently; they are spread over the time in
        which the server can be sent all of them.
        """
        spread_s = max(1.0, returning) / max(1.0, self.starts_per_s(now))
        return max(0.0, room_at - now) + self.rng.uniform(0.0, spread_s)


def unlimited(now: float) -> StartLimit:
    """Return the limit of a server that is never cold."""
    limit = StartLimit(now, random.Random(0))
    limit.rate = 0.0
    return limit
