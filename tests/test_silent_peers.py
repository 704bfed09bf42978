"""Tests that a peer that answers nothing doesn't delay pulls from others.

A process that can't reach the store pulls the configuration and the ownership
from peers.  Their statuses come every half a second, those of the silent peers
first each time.
"""

import asyncio
import collections.abc
import typing

import pytest
import test_key_ranges
from bronzepaddle import cells, ids, key_ranges, store_leases, store_versions
from bronzepaddle_node import peer_table
from bronzepaddle_node.keys import member_settings, ownership_view
from bronzepaddle_peers import statuses, stream_client
from support import configuration_fleet, sample_status, simulated_time

PEERS: typing.Final = 6
STATUS_INTERVAL_S: typing.Final = 0.5
MAX_PULL_S: typing.Final = 1.5
"""Longest time from the first status until the newer version is in effect."""

SILENT: typing.Final = pytest.mark.parametrize("silent", range(PEERS))
"""Number of the peers that answer nothing."""

NEW: typing.Final = ids.BundleVersion(7)


class SilentPeers:
    """Peers that know a newer version; the first ones answer no pull.

    Their statuses go to ``on_status`` while ``is_old`` holds.
    """

    def __init__(
        self,
        silent: int,
        on_status: collections.abc.Callable[[statuses.Status], None],
        is_old: collections.abc.Callable[[], bool],
    ) -> None:
        self.silent = silent
        self.on_status = on_status
        self.is_old = is_old
        # The largest number of pulls at a time, and those running now.
        self.most_pulls = 0
        self.pulls = 0

    async def answer(self, address: cells.Address) -> None:
        """Answer a pull, or raise ``TimeoutError`` after its timeout."""
        self.pulls += 1
        self.most_pulls = max(self.most_pulls, self.pulls)
        try:
            if address.port < self.silent:
                await asyncio.sleep(stream_client.PULL_TIMEOUT_S)
                raise TimeoutError
        finally:
            self.pulls -= 1

    async def send_statuses(self) -> float:
        """Send statuses until the new version is known; return the time.

        Gives up after some seconds.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while self.is_old() and loop.time() < began_at + 20.0:
            for number in range(PEERS):
                self.on_status(
                    sample_status.status(
                        sender=ids.MemberId(str(number)),
                        address=configuration_fleet.address_of(number),
                        table_version=NEW,
                        ownership_version=ids.ObjectVersion(7),
                    )
                )
            for _ in range(10):
                if self.is_old():
                    await asyncio.sleep(STATUS_INTERVAL_S / 10)
        return loop.time() - began_at


@pytest.fixture
def loop() -> collections.abc.Iterator[simulated_time.SimulatedTimeLoop]:
    simulated_loop = simulated_time.SimulatedTimeLoop()
    yield simulated_loop
    simulated_loop.close()


@SILENT
def test_configuration_is_pulled_from_peers_that_answer(
    loop: simulated_time.SimulatedTimeLoop, silent: int
) -> None:
    fleet = configuration_fleet.Fleet(loop, 1)
    process = fleet.configurations[0]
    peers = SilentPeers(
        silent, process.on_status, lambda: process.version != NEW
    )

    async def pull_config(
        address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        await peers.answer(address)
        return statuses.ConfigReply(NEW, str(NEW).encode())

    fleet.pull_config = pull_config  # type: ignore[method-assign]
    took_s = loop.run_until_complete(peers.send_statuses())
    assert took_s <= MAX_PULL_S
    assert peers.most_pulls <= 3


@SILENT
def test_ownership_is_pulled_from_peers_that_answer(
    loop: simulated_time.SimulatedTimeLoop, silent: int
) -> None:
    newer = store_versions.of_first_era(ids.ObjectVersion(7))

    async def pull_ownership(
        address: cells.Address, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        await peers.answer(address)
        return statuses.OwnershipReply(
            newer.revision,
            key_ranges.encode(
                test_key_ranges.all_keys_owned_by(test_key_ranges.A)
            ),
        )

    name = ids.MemberId("own")
    view = ownership_view.OwnershipView(
        member_settings.MemberSettings(
            name,
            ids.Incarnation("1"),
            ids.ServiceName("shop"),
            store_leases.StoreLeaseTimes(),
            3.0,
            True,
        ),
        configuration_fleet.HangingStore(),
        peer_table.PeerTable(name, ids.ZoneName("zone")),
        lambda: None,
        pull_ownership,
        asyncio.Event(),
        simulated_time.SimulatedClock(loop, 1.0),
    )
    view.store_unreachable = True
    peers = SilentPeers(
        silent,
        lambda status: view.on_status(status, False),
        lambda: view.version != newer,
    )
    took_s = loop.run_until_complete(peers.send_statuses())
    assert took_s <= MAX_PULL_S
    assert peers.most_pulls <= 3
