"""Renewals of grants that requests wait for.

A request asks here for the renewal of its key's grant and waits until
``server_grants`` has tried it.  For the event loop only.
"""

import asyncio
import collections.abc

from bronzepaddle.load import grant_times


def _nobody() -> None:
    """Do nothing; the callback until a reconciler sets its own."""


class WantedRenewals:
    """The requests that wait for renewals of their grants.

    ``stalled`` is set while renewals take too long to wait for.
    ``on_wanted`` is called when a request begins to wait.  ``renewed_s`` is
    how long a grant would last that is renewed now, 0 if grants are not
    renewed by command, and ``fresh_s`` how long under a lease that has not
    begun to run out.  ``waits`` counts the requests that have waited,
    ``rejected`` those that what was left of their grant was too short for, and
    ``cut_off`` those that failed since they outlasted it.
    """

    def __init__(self) -> None:
        self.on_wanted: collections.abc.Callable[[], None] = _nobody
        self.renewed_s = 0.0
        self.fresh_s = 0.0
        self.stalled = False
        self.waits = 0
        self.rejected = 0
        self.cut_off = 0
        self.waiting: dict[
            asyncio.Future[None], grant_times.WantedRenewal
        ] = {}

    def wanted(self) -> list[grant_times.WantedRenewal]:
        """Return the renewals that requests wait for now."""
        return list(self.waiting.values())

    def is_wanted(self, first: int, last: int) -> bool:
        """Return whether a request for a key of a range waits."""
        return any(
            first <= renewal.key <= last for renewal in self.waiting.values()
        )

    def record_tried(
        self,
        wanted: collections.abc.Collection[grant_times.WantedRenewal],
        first: int,
        last: int,
    ) -> None:
        """Wake those of ``wanted`` whose keys are in a range."""
        self.stalled = False
        for waiter, renewal in self.waiting.items():
            if (
                first <= renewal.key <= last
                and renewal in wanted
                and not waiter.done()
            ):
                waiter.set_result(None)

    async def wait(
        self, renewal: grant_times.WantedRenewal, timeout_s: float
    ) -> bool:
        """Wait for ``timeout_s``; return whether the renewal was tried."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting[waiter] = renewal
        self.waits += 1
        self.on_wanted()
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            del self.waiting[waiter]
        return True
