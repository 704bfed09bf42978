"""Keyed requests at the backend server, and the grants that they run under.

Goes in: a request that is about to be sent, or that has ended.  Comes out:
whether what is left of its key's grant is enough for it; the decision itself
is in ``grant_times``.  For the event loop only.
"""

import http
import typing

from bronzepaddle import clocks, http_messages, logs
from bronzepaddle.load import grant_times
from bronzepaddle_peers import stream_messages

from bronzepaddle_node import held_keys

MAX_RENEWAL_WAIT_S: typing.Final = 0.25
"""Longest time for which a request waits for the renewal of its grant."""


class KeyedWork:
    """The keyed requests that are sent to the server on the same VM."""

    def __init__(self, held: held_keys.HeldKeys, clock: clocks.Clock) -> None:
        self.held_keys = held
        self.clock = clock

    async def fits_grant(
        self, request: stream_messages.ForwardedRequest, deadline: float
    ) -> bool:
        """Return whether a request can end within the grant of its key.

        Waits for a renewal of the grant where that is needed, unless renewals
        take too long: then each request would block a slot in vain.
        """
        renewals = self.held_keys.renewals
        if request.key < 0 or renewals.renewed_s == 0.0:
            return True
        may_wait = not renewals.stalled
        decision = self._grant_fit(request, deadline, may_wait)
        if decision is grant_times.Fit.RENEW_FIRST:
            wait_s = min(MAX_RENEWAL_WAIT_S, deadline - self.clock.now())
            was_tried = await renewals.wait(
                grant_times.WantedRenewal(request.key, request.rank, deadline),
                wait_s,
            )
            if not was_tried and wait_s == MAX_RENEWAL_WAIT_S:
                renewals.stalled = True
            decision = self._grant_fit(request, deadline, may_wait=False)
        if decision is grant_times.Fit.TOO_LONG:
            renewals.rejected += 1
        return decision is not grant_times.Fit.TOO_LONG

    def _grant_fit(
        self,
        request: stream_messages.ForwardedRequest,
        deadline: float,
        may_wait: bool,
    ) -> grant_times.Fit:
        """Return whether a request fits into what is left of its grant."""
        now = self.clock.now()
        work_times = self.held_keys.work_times
        rest = grant_times.GrantRest(
            self.held_keys.left_s(request.key, now),
            self.held_keys.renewals.renewed_s,
            self.held_keys.renewals.fresh_s,
        )
        return grant_times.fit(
            rest,
            min(
                work_times.needed_s(request.route, request.target_s),
                deadline - now,
            ),
            work_times.typical_s(request.route),
            may_wait,
        )

    def record_run(
        self,
        request: stream_messages.ForwardedRequest,
        response: http_messages.Response,
        left_s: float,
        took_s: float,
    ) -> None:
        """Record how long a keyed request ran, and what its grant had left."""
        failed = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        left_at_end_s = self.held_keys.left_s(request.key, self.clock.now())
        cut_off = (
            response.status == http.HTTPStatus.INTERNAL_SERVER_ERROR
            and took_s >= left_s
        )
        if cut_off or not failed:
            self.held_keys.work_times.record(request.route, took_s, cut_off)
        if cut_off:
            self.held_keys.renewals.cut_off += 1
        if failed or took_s > left_s:
            logs.keyed_run(
                request.request_id,
                request.key,
                response.status,
                took_s,
                left_s,
                left_at_end_s,
            )
