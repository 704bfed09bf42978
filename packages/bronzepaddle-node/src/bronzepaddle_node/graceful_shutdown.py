"""Shuts a sidecar down gracefully, within its grace time.

Requests in flight are drained: the process goes on until their responses are
written, and begins no request that its end would cut off.
"""

import typing

from bronzepaddle import clocks, logs
from bronzepaddle_callers import server
from bronzepaddle_peers import stream_service

from bronzepaddle_node import local_backend, process_end, router

MIN_DRAIN_S: typing.Final = 2.5
"""Minimum time for which callers are still served after a request to stop.

Callers learn of the stop from two health checks, one second apart.
"""

USED_GRACE_SHARE: typing.Final = 11 / 12
"""Share of the grace time after which a shutdown is over in any case."""

CLOSE_TIMEOUT_S: typing.Final = 0.2
"""Time that an HTTP server that is closed gives its running requests."""

POLL_INTERVAL_S: typing.Final = 0.05


class GracefulShutdown:
    """The shutdown of a process; its grace time starts with this object."""

    def __init__(
        self,
        caller_server: server.HttpServer,
        peer_service: stream_service.Service,
        request_router: router.Router,
        backend: local_backend.LocalBackend,
        clock: clocks.Clock,
        grace_s: float,
    ) -> None:
        self.caller_server = caller_server
        self.peer_service = peer_service
        self.router = request_router
        self.local_backend = backend
        self.clock = clock
        self.started_at = clock.now()
        self.ends_at = self.started_at + grace_s * USED_GRACE_SHARE

    async def drain(self) -> None:
        """Serve the remaining requests, then close the port for callers.

        Returns within the grace time, even if requests are still running; the
        port stays open then.
        """
        self.caller_server.disable_keep_alive()
        known_at = self.started_at + MIN_DRAIN_S
        self._set_end(process_end.ProcessEnd(known_at, self.ends_at))
        await self.clock.sleep(min(known_at, self.ends_at) - self.started_at)
        if await self._wait_for_requests():
            # Requests that arrive from here on are rejected, so that no more
            # are running when the process ends.
            self._set_end(process_end.NOW)
            await self._close_caller_port()
            await self._wait_for_requests()

    def _set_end(self, end: process_end.ProcessEnd) -> None:
        """Begin no requests that the end of this process would cut off."""
        self.local_backend.process_end = self.router.process_end = end

    async def _wait_for_requests(self) -> bool:
        """Wait until no request is in flight; return False if that is late."""
        while self._has_requests_in_flight():
            if self.clock.now() >= self.ends_at:
                logs.stopped_early(self.caller_server.requests_in_progress())
                return False
            await self.clock.sleep(POLL_INTERVAL_S)
        return True

    def _has_requests_in_flight(self) -> bool:
        """Return whether a request of a caller or a peer is in flight.

        It is until its response has been written to its end.
        """
        return bool(
            self.caller_server.requests_in_progress()
            or self.peer_service.is_serving()
        )

    async def _close_caller_port(self) -> None:
        """Close the port for callers; wait for it until the end at most.

        It is closed on a thread of its own: the end of the event loop would
        wait for one of its executor.
        """
        closing = self.caller_server.begin_stop(CLOSE_TIMEOUT_S)
        while closing.is_alive() and self.clock.now() < self.ends_at:
            await self.clock.sleep(POLL_INTERVAL_S)
