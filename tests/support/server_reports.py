"""Status reports of a backend server to the process beside it.

They can be held up and delivered late, and reports of a run that has ended
can arrive among them.
"""

import asyncio
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

logger = logging.getLogger(__name__)


class Reporter:
    """Reports the current run of a server at the interval.

    Reports that are made before ``held_up_until`` are sent then.
    """

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
        self.acknowledged = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def report(self, run: key_holding_servers.ServerRun) -> None:
        """Report a run from its start until it has ended."""
        while run.up:
            document = self._document(run.born_ms, next(run.sequence))
            self._send_in_background(run.server_id, document)
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

    def report_earlier_run(
        self, number: int, address: str | None = None
    ) -> None:
        """Send a report of a run that started before the current one."""
        run = self.server.current
        if run is not None:
            document = self._document(
                run.born_ms - EARLIER_BY_MS,
                EARLIER_RUN_SEQUENCE + number,
                address,
            )
            self._send_in_background(
                f"{run.server_id}-earlier", document, may_be_held_up=False
            )

    def _send_in_background(
        self, server_id: str, document: bytes, may_be_held_up: bool = True
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._send(server_id, document, may_be_held_up)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(
        self, server_id: str, document: bytes, may_be_held_up: bool
    ) -> None:
        while may_be_held_up:
            wait_s = self.held_up_until - self.server.clock.now()
            if wait_s <= 0:
                break
            await asyncio.sleep(wait_s)
        try:
            status = await small_http.call(
                self.control_address,
                "PUT",
                REPORT_PATH + server_id,
                document,
                RESPONSE_TIMEOUT_S,
            )
        except (OSError, EOFError) as error:
            logger.debug("report of %s not received: %r", server_id, error)
            return
        self.acknowledged += status == 200
