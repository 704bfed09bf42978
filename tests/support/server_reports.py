"""Status reports of a backend server to the process beside it.

They can be held up and delivered late, and reports of a run that has ended
can arrive among them.
"""

import asyncio
import collections.abc
import itertools
import json
import logging
import typing

from support import key_holding_servers, small_http

INTERVAL_S: typing.Final = 0.87
RESPONSE_TIMEOUT_S: typing.Final = 1.0
EARLIER_BY_MS: typing.Final = 60_000
"""How much earlier a run that has ended was started."""

EARLIER_RUN_SEQUENCE: typing.Final = 1000
REPORT_PATH: typing.Final = "/api/instances/"


class Reporter:
    """Reports each run of a server at the interval, from its start."""

    def __init__(
        self,
        server: key_holding_servers.KeyHoldingServer,
        service: str,
        zone: str,
        control_address: str,
    ) -> None:
        self.server = server
        self.service = service
        self.zone = zone
        self.control_address = control_address
        self.held_up_until = float("-inf")
        self.earlier_sequence = itertools.count(EARLIER_RUN_SEQUENCE)
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, run: key_holding_servers.ServerRun) -> None:
        """Report a run until it has ended."""
        self._in_background(self._report(run))

    def hold_up_until(self, ends_at: float) -> None:
        """Deliver all reports that are made before a time at that time."""
        self.held_up_until = max(self.held_up_until, ends_at)

    def report_earlier_run(self, address: str | None) -> None:
        """Send a report of a run that started before the current one.

        ``address`` is that of the current run if it is None.
        """
        run = self.server.current
        if run is not None:
            document = self._document(
                run.born_ms - EARLIER_BY_MS,
                next(self.earlier_sequence),
                address,
            )
            earlier_id = f"{run.server_id}-earlier"
            self._in_background(self._send(earlier_id, document))

    async def _report(self, run: key_holding_servers.ServerRun) -> None:
        while run.up:
            document = self._document(run.born_ms, next(run.sequence))
            self._in_background(self._send_late(run.server_id, document))
            await asyncio.sleep(INTERVAL_S)

    def _document(
        self, born_ms: int, sequence: int, address: str | None = None
    ) -> bytes:
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": key_holding_servers.SLOTS,
        }
        status = {
            "state": "ready",
            "sequence": sequence,
            "cold_remaining_ms": 0,
        }
        report = {
            "address": address or self.server.listener.address,
            "info": info,
            "status": status,
            "born": born_ms,
        }
        return json.dumps(report).encode()

    async def _send_late(self, server_id: str, document: bytes) -> None:
        """Send a report once reports are not held up."""
        clock = self.server.clock
        while (wait_s := self.held_up_until - clock.now()) > 0:
            await asyncio.sleep(wait_s)
        await self._send(server_id, document)

    async def _send(self, server_id: str, document: bytes) -> None:
        path = REPORT_PATH + server_id
        try:
            await small_http.call(
                self.control_address, "PUT", path, document, RESPONSE_TIMEOUT_S
            )
        except (OSError, EOFError) as error:
            logging.debug("report of %s not received: %r", server_id, error)

    def _in_background(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
