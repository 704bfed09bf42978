"""Callers of a soak, which keep their connections open."""

import asyncio
import collections
import contextlib
import itertools
import logging
import random
import typing

from bronzepaddle import route_table
from bronzepaddle_platform import header_names

from support import small_http

HOST: typing.Final = "soak.example"
REQUESTS_PER_S: typing.Final = 60.0
"""Rate of the requests of all callers together."""

CALLERS_PER_VM: typing.Final = 3
DEADLINE_MS: typing.Final = 2000
RESPONSE_TIMEOUT_S: typing.Final = 3.0
RECONNECT_S: typing.Final = 0.1
HOT_KEYS: typing.Final = range(20_000, 20_064)
HOT_SHARE: typing.Final = 0.7


class Callers:
    """The callers of all VMs; ``responses`` counts responses by status."""

    def __init__(self, service: str, vms: int, seed: int) -> None:
        self.service = service
        self.randomness = random.Random(seed)
        self.interval_s = vms * CALLERS_PER_VM / REQUESTS_PER_S
        self.numbers = itertools.count(1)
        self.responses: collections.Counter[int] = collections.Counter()

    async def run(self, address: str) -> None:
        """Send requests one by one to the process at an address."""
        host, _, port = address.partition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError as error:
                logging.debug("%s: %r", address, error)
                await asyncio.sleep(RECONNECT_S)
                continue
            with contextlib.closing(writer):
                while await self._send(reader, writer):
                    await asyncio.sleep(
                        self.randomness.uniform(0.0, 2.0) * self.interval_s
                    )

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request; return whether its connection stays open."""
        is_hot = self.randomness.random() < HOT_SHARE
        keys = HOT_KEYS if is_hot else range(route_table.KEY_COUNT)
        request_id = f"r-{next(self.numbers):06d}"
        headers = {
            "Host": HOST,
            header_names.REQUEST_ID: request_id,
            header_names.DEADLINE_MS: str(DEADLINE_MS),
            header_names.SHARD_KEY: str(self.randomness.choice(keys)),
        }
        first_line = f"GET /{self.service}/{request_id} HTTP/1.1"
        writer.write(small_http.encode(first_line, headers=headers))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                message = await small_http.read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            logging.debug("%s: %r", request_id, error)
            message = None
        if message is None:
            self.responses[0] += 1
            return False
        self.responses[message.status] += 1
        return message.headers.get("connection", "").lower() != "close"
