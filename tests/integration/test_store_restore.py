"""Tests of whole sidecars whose store comes back from a copy.

The sidecars run in the test process, between stand-ins for the platform.
"""

import collections.abc
import threading
import time
import typing

import pytest
from bronzepaddle import ids

from integration import test_sidecar

KEYS: typing.Final = (0, 1500, 20_000, 40_000, 65_535)

SAMPLE_INTERVAL_S: typing.Final = 0.01


class HolderObserver:
    """Samples which servers hold each of some keys.

    ``conflicts`` are the keys that two servers held at the same time.
    """

    def __init__(self, fleet: test_sidecar.Fleet) -> None:
        self.fleet = fleet
        self.conflicts: set[int] = set()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            servers = list(self.fleet.servers.values())
            self.conflicts |= {
                key
                for key in KEYS
                if sum(server.holds(key) for server in servers) > 1
            }

    def stop(self) -> None:
        """Stop sampling."""
        self.stopped.set()
        self.thread.join()


@pytest.fixture
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[test_sidecar.Fleet]:
    running = test_sidecar.Fleet(tmp_path_factory.mktemp("sidecars"))
    try:
        running.wait_until_served()
        yield running
    finally:
        running.stop()


def wait_until_restored(fleet: test_sidecar.Fleet) -> None:
    """Wait until each member has the ownership of the store's era."""
    fleet.wait_until(
        lambda: all(
            fleet.sidecars[name].reconciler.view.version.era == fleet.store.era
            for name in ("one", "two")
        ),
        "the ownership is restored",
    )


def test_lost_writes_are_made_good(fleet: test_sidecar.Fleet) -> None:
    """A copy without the last moves, routes and processes goes unnoticed.

    Guards against two servers with the same keys, a configuration that goes
    back, tokens that are given out again, and a registration that stays lost.
    """
    copied = fleet.store.copy()
    del copied[1]["members"]["one"]
    fleet.store.put(
        "config",
        "main",
        test_sidecar.config(2, test_sidecar.route("/new/", "plain")),
    )
    fleet.servers["two"].state = "draining"
    for name in fleet.sidecars:
        fleet.wait_until(
            lambda name=name: fleet.send(name, "/new/a").status == 200,  # type: ignore[misc]
            f"{name} serves the new route",
        )
    fleet.wait_until(
        lambda: all(fleet.servers["one"].holds(key) for key in KEYS),
        "the keys have moved",
    )
    lost = fleet.sidecars["one"].reconciler.view.latest
    assert lost is not None and lost.ownership is not None
    observer = HolderObserver(fleet)
    fleet.store.restore(copied)
    wait_until_restored(fleet)
    for name in fleet.sidecars:
        assert fleet.sidecars[name].configuration.version == 2
        assert fleet.send(name, "/new/a").status == 200
    fleet.wait_until(
        lambda: all(fleet.servers["one"].holds(key) for key in KEYS),
        "the keys are held again",
    )
    fleet.wait_until_served()
    restored = fleet.sidecars["one"].reconciler.view.latest
    assert restored is not None and restored.ownership is not None
    assert restored.ownership.owned_by(ids.MemberId("two")) == []
    tokens = [key_range.token for key_range in restored.ownership.ranges]
    assert min(tokens) >= lost.ownership.next_token
    fleet.wait_until(
        lambda: "one" in fleet.store.objects_by_kind["members"],
        "the registration is written again",
    )
    observer.stop()
    assert not observer.conflicts


def test_configuration_is_followed_in_each_new_era(
    fleet: test_sidecar.Fleet,
) -> None:
    """A change takes effect though its revision was assigned before.

    Guards against a watch that goes on from a revision of the last era.
    """
    copied = fleet.store.copy()
    for number in range(2, 8):
        fleet.store.put("config", "main", test_sidecar.config(number))
    fleet.wait_until(
        lambda: all(
            running.configuration.version == 7
            for running in fleet.sidecars.values()
        ),
        "the last version is in force",
    )
    fleet.store.restore(copied)
    time.sleep(test_sidecar.ANNOUNCE_INTERVAL_S)
    assert all(
        running.configuration.version == 7
        for running in fleet.sidecars.values()
    )
    fleet.store.put(
        "config",
        "main",
        test_sidecar.config(8, test_sidecar.route("/later/", "plain")),
    )
    for name in fleet.sidecars:
        fleet.wait_until(
            lambda name=name: fleet.send(name, "/later/a").status == 200,  # type: ignore[misc]
            f"{name} serves the route of the new era",
        )
