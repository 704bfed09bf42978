"""The parts of one process that stand beside a backend server, for tests.

Requests are queued and admitted as usual; what is sent to the server is only
recorded and runs until the test ends it.
"""

import asyncio
import collections.abc
import concurrent.futures
import random
import typing

from bronzepaddle import clocks, ids
from bronzepaddle.load import cold_servers, expected_cost
from bronzepaddle_backend import server_tracker
from bronzepaddle_node import crash_detector, held_keys, local_backend
from bronzepaddle_peers import pacing, stream_messages
from bronzepaddle_platform import header_names

from support import simulated_time

ME: typing.Final = ids.MemberId("me")
SHOP: typing.Final = ids.ServiceName("shop")

_T = typing.TypeVar("_T")


class UnfinishedWork(concurrent.futures.Executor):
    """Starts every call and finishes none before the test does.

    ``sent`` lists the future of each call, in order.
    """

    def __init__(self) -> None:
        self.sent: list[concurrent.futures.Future[typing.Any]] = []

    def submit(
        self, *_call: typing.Any, **_arguments: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        """Record a call."""
        future: concurrent.futures.Future[typing.Any] = (
            concurrent.futures.Future()
        )
        future.set_running_or_notify_cancel()
        self.sent.append(future)
        return future


def announcement(**changes: typing.Any) -> server_tracker.Announcement:
    fields: dict[str, typing.Any] = {
        "server_id": "s",
        "service": SHOP,
        "host": "127.0.0.1",
        "port": 1,
        "slots": 3,
        "state": server_tracker.AnnouncedState.READY,
        "sequence": 1,
        "started_ms": 1,
        "warmup_left_s": 0.0,
    }
    return server_tracker.Announcement(**(fields | changes))


def backend(
    clock: clocks.Clock,
    slots: int,
    cold_per_s: float = 0.0,
    **changes: typing.Any,
) -> local_backend.LocalBackend:
    """Return the backend of a process whose server has announced itself.

    The process has just started.
    """
    tracker = server_tracker.Tracker(1.0)
    start_limit = cold_servers.StartLimit(clock.now(), random.Random(1))
    start_limit.rate = cold_per_s
    local = local_backend.LocalBackend(
        ME,
        header_names.SERVER_HEADERS,
        tracker,
        held_keys.HeldKeys(),
        UnfinishedWork(),
        crash_detector.CrashDetector(clock, lambda: None),
        pacing.Pacer(None, clock),
        start_limit,
        clock,
        lambda: None,
        expected_cost.CostModel(),
    )
    announce(local, slots=slots, **changes)
    return local


def announce(
    local: local_backend.LocalBackend, **changes: typing.Any
) -> server_tracker.Announcement:
    """Record an announcement as the process does."""
    announced = announcement(**changes)
    assert local.tracker.record(announced, local.clock.now())
    local.on_announcement(announced)
    return announced


def forwarded_request(
    **changes: typing.Any,
) -> stream_messages.ForwardedRequest:
    fields: dict[str, typing.Any] = {
        "number": 1,
        "request_id": ids.RequestId("r-1"),
        "caller_service": SHOP,
        "service": SHOP,
        "route": "read",
        "run": "s@1",
        "method": "GET",
        "target": "/a",
        "headers": (),
        "key": -1,
        "rank": 0,
        "idempotent": True,
        "time_left_s": 2.0,
        "target_s": 1.0,
        "late": False,
        "body": b"",
    }
    return stream_messages.ForwardedRequest(**(fields | changes))


def run_simulated(
    main: collections.abc.Callable[
        [clocks.Clock], collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ],
) -> _T:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(
        loop_factory=simulated_time.SimulatedTimeLoop
    ) as runner:
        loop = typing.cast(simulated_time.SimulatedTimeLoop, runner.get_loop())
        clock = simulated_time.SimulatedClock(loop, 1.0)
        return runner.run(main(clock))
