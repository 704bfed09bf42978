"""Test of a server that has left, beside processes that start anew."""

import asyncio
import pathlib
import typing

import pytest
from bronzepaddle_node import sidecar

from integration import test_sidecar

REQUESTS: typing.Final = 20


@pytest.mark.parametrize("restarted", (("three",), ("three", "four")))
def test_new_process_does_not_use_a_server_that_has_left(
    tmp_path: pathlib.Path, restarted: tuple[str, ...]
) -> None:
    """Guards against an acknowledged leaving that a restart forgets.

    A report of before the leaving comes late, to a process that has started
    since; all processes that knew of the leaving may have ended.
    """
    fleet = test_sidecar.Fleet(tmp_path)
    try:
        fleet.wait_until_served()
        server = fleet.servers["three"]
        server.leaving = True
        left = fleet.http.request(
            "DELETE",
            f"http://{fleet.control('three')}/api/instances/i-three",
        )
        assert left.status == 200
        for name in restarted:
            restart(fleet, name)
        late = server.report(fleet.control("three"), {}, server.sequence + 1)
        assert late.status == 200
        tracker = fleet.sidecars["three"].tracker
        fleet.wait_until(lambda: tracker.unhealthy, "the server was asked")
        fleet.wait_until(
            lambda: fleet.send("four", "/plain/a").status == 200,
            "the other server is used",
        )
        received = len(server.received)
        for _ in range(REQUESTS):
            assert fleet.send("four", "/plain/a").status == 200
        assert len(server.received) == received
    finally:
        fleet.stop()


def restart(fleet: test_sidecar.Fleet, name: str) -> None:
    """End a process, and start it again with the same settings."""
    ended = fleet.sidecars[name]
    asyncio.run_coroutine_threadsafe(ended.close(), fleet.loop).result()
    started = sidecar.Sidecar(ended.settings)
    asyncio.run_coroutine_threadsafe(started.start(), fleet.loop).result()
    fleet.sidecars[name] = started
