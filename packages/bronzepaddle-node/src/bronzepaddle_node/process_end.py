"""Decides which requests a process may still begin before it ends.

A request that the end of the process would cut off must not be begun: its
caller could not know whether it ran.
"""

import dataclasses
import typing

RUN_TIME_FACTOR: typing.Final = 3.0
"""Multiple of a route's mean run time that must be left to this process."""


@dataclasses.dataclass(frozen=True)
class ProcessEnd:
    """When a process ends, in seconds on its clock; by default never.

    ``ends_at`` is when it ends even if requests are still running.  Callers
    know of the end from ``known_at`` on.
    """

    known_at: float = float("inf")
    ends_at: float = float("inf")

    def may_begin(self, now: float, mean_s: float, time_left_s: float) -> bool:
        """Return whether a request may be begun.

        ``mean_s`` is the mean run time of its route, ``time_left_s`` the time
        until its deadline.  Once callers know of the end, the deadline
        must not be after it; until then it is enough that the request is
        expected to be over.
        """
        if now < self.known_at:
            return now + RUN_TIME_FACTOR * mean_s <= self.ends_at
        return now + time_left_s <= self.ends_at


NEVER: typing.Final = ProcessEnd()
"""The end of a process that has not been asked to stop."""

NOW: typing.Final = ProcessEnd(float("-inf"), float("-inf"))
"""The end of a process that begins nothing any more."""
