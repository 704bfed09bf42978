"""Tests that calls which the store leaves unanswered hold no others back.

The client of the platform's store reaches it over TCP.
"""

import asyncio
import collections.abc
import time
import typing

import eliot
import pytest
from bronzepaddle import ids, store_versions
from bronzepaddle_platform import object_store
from bronzepaddle_store import http_calls, store
from support import local_addresses, metadata_store, small_http

CALL_TIMEOUT_S: typing.Final = 3.0
MAX_DELAY_S: typing.Final = 1.0
"""Longest time of an answered call; those without an answer take longer."""

FIRST: typing.Final = store_versions.of_first_era(ids.ObjectVersion(1))


class SilentFolder:
    """A store that answers no call for the folder "silent"."""

    def __init__(self) -> None:
        self.ports = metadata_store.StorePort(
            metadata_store.Store(), local_addresses.unused_address()
        )
        self.answer = self.ports.listener.handle
        self.ports.listener.handle = self.handle

    async def handle(
        self, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        """Answer one call."""
        if "/silent" in request.start[1]:
            return small_http.NoResponse.SILENT
        return await self.answer(request)


Scenario: typing.TypeAlias = collections.abc.Callable[
    [object_store.ObjectStore, metadata_store.Store],
    collections.abc.Awaitable[None],
]


def run(scenario: Scenario) -> None:
    """Run a scenario with a client of the store."""

    async def with_a_client() -> None:
        platform = SilentFolder()
        await platform.ports.listener.open()
        client = object_store.ObjectStore(
            platform.ports.listener.address,
            CALL_TIMEOUT_S,
            http_calls.CallBudget(10_000),
        )
        try:
            await scenario(client, platform.ports.store)
        finally:
            platform.ports.listener.reset_connections()
            platform.ports.listener.close()
            client.close()

    asyncio.run(with_a_client())


async def leave_unanswered(
    calls: collections.abc.Iterable[
        collections.abc.Coroutine[typing.Any, typing.Any, object]
    ],
) -> asyncio.Future[list[object]]:
    """Start calls that get no answer, and let them be sent."""
    running = asyncio.gather(*calls, return_exceptions=True)
    await asyncio.sleep(0.2)
    return running


@pytest.mark.parametrize("silent", [6, 12])
def test_silent_calls_hold_no_watch_back(silent: int) -> None:
    """Guards against changes that are known late (issue 52)."""

    async def watch(
        client: object_store.ObjectStore, objects: metadata_store.Store
    ) -> None:
        unanswered = await leave_unanswered(
            client.get("silent/main") for _ in range(silent)
        )
        watching = asyncio.create_task(
            client.watch("config/main", FIRST, 10.0)
        )
        await asyncio.sleep(0.1)
        changed_at = time.monotonic()
        await objects.write("config", "main", 2)
        found = await watching
        assert found is not None
        assert time.monotonic() - changed_at <= MAX_DELAY_S
        await unanswered

    run(watch)


def test_silent_watches_hold_no_read_back() -> None:
    async def read(
        client: object_store.ObjectStore, objects: metadata_store.Store
    ) -> None:
        await objects.write("config", "main", 2)
        unanswered = await leave_unanswered(
            client.watch("silent/main", FIRST, 0.5) for _ in range(12)
        )
        asked_at = time.monotonic()
        assert await client.get("config/main") is not None
        assert time.monotonic() - asked_at <= MAX_DELAY_S
        await unanswered

    run(read)


def test_call_that_waited_for_others_is_logged() -> None:
    lines: list[dict[str, typing.Any]] = []
    addresses: list[str] = []

    async def queue(
        client: object_store.ObjectStore, objects: metadata_store.Store
    ) -> None:
        addresses.append(client.address)
        unanswered = await leave_unanswered(
            client.get("silent/main") for _ in range(12)
        )
        answers = await unanswered
        assert all(
            isinstance(answer, store.StoreUnavailableError)
            for answer in answers
        )
        assert client.calls.longest_wait_s >= CALL_TIMEOUT_S - 0.5

    eliot.add_destinations(lines.append)
    try:
        run(queue)
    finally:
        eliot.remove_destination(lines.append)
    queued = [
        line["what"]
        for line in lines
        if line["message_type"] == "call-queued"
        and addresses[0] in line["what"]
    ]
    assert queued
    assert all("/silent/main" in what for what in queued)
