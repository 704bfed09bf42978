"""The process beside a cold server: it sends no more than the rate.

In simulated time; the server only records what it is sent.
"""

import asyncio
import typing

from bronzepaddle import clocks, verdicts
from bronzepaddle_node import local_backend
from bronzepaddle_peers import stream_client
from support import local_processes

COLD_PER_S: typing.Final = 4.9
SLOTS: typing.Final = 20


def sent_count(backend: local_backend.LocalBackend) -> int:
    """Return the number of requests that were sent to the server."""
    workers = backend.workers
    assert isinstance(workers, local_processes.UnfinishedWork)
    return len(workers.sent)


def ask(
    backend: local_backend.LocalBackend, count: int
) -> list["asyncio.Task[stream_client.Reply]"]:
    """Send requests to the process, for the current run of its server."""
    run = backend.server_run
    assert run is not None
    return [
        asyncio.create_task(
            backend.handle(
                local_processes.forwarded_request(
                    run=run.announcement.run, time_left_s=3.0, target_s=2.5
                )
            )
        )
        for _ in range(count)
    ]


async def cold_backend(clock: clocks.Clock) -> local_backend.LocalBackend:
    """Return a process that has been running beside a cold server."""
    backend = local_processes.backend(
        clock, SLOTS, COLD_PER_S, warmup_left_s=10.0
    )
    await asyncio.sleep(1.5)
    return backend


def test_waiting_requests_are_sent_when_there_is_room() -> None:
    """Nothing else happens that would wake them."""

    async def count_by_second(clock: clocks.Clock) -> list[int]:
        backend = await cold_backend(clock)
        tasks = ask(backend, 15)
        counts = []
        for _ in range(3):
            await asyncio.sleep(0.5)
            counts.append(sent_count(backend))
            await asyncio.sleep(0.5)
        assert len(tasks) == 15
        return counts

    assert local_processes.run_simulated(count_by_second) == [5, 10, 15]


def test_what_a_cold_server_cannot_take_is_refused_at_once() -> None:
    async def refused(clock: clocks.Clock) -> list[stream_client.Reply]:
        backend = await cold_backend(clock)
        tasks = ask(backend, 40)
        await asyncio.sleep(0.001)
        return [task.result() for task in tasks if task.done()]

    replies = local_processes.run_simulated(refused)
    assert len(replies) >= 20
    for reply in replies:
        assert reply.response.verdict is verdicts.Verdict.NOT_RUN
        assert reply.response.status == 503
        assert reply.response.retry_after_s is not None
        assert "5 requests per second" in reply.response.detail
        assert reply.starts_per_s == 5.0


def test_server_that_is_warm_again_is_sent_what_waits() -> None:
    async def sent(clock: clocks.Clock) -> tuple[int, int]:
        backend = await cold_backend(clock)
        tasks = ask(backend, 12)
        await asyncio.sleep(0.1)
        cold = sent_count(backend)
        local_processes.announce(backend, slots=SLOTS, sequence=2)
        await asyncio.sleep(0.01)
        assert tasks
        return cold, sent_count(backend)

    assert local_processes.run_simulated(sent) == (5, 12)


def test_server_lost_while_cold_counts_for_its_next_run() -> None:
    """The new run is cold too and gets nothing before there is room."""

    async def sent(clock: clocks.Clock) -> list[int]:
        backend = await cold_backend(clock)
        tasks = ask(backend, 5)
        await asyncio.sleep(0.2)
        local_processes.announce(
            backend, slots=SLOTS, started_ms=2, warmup_left_s=10.0
        )
        tasks += ask(backend, 5)
        counts = []
        for wait_s in (0.5, 0.5):
            await asyncio.sleep(wait_s)
            counts.append(sent_count(backend))
        assert len(tasks) == 10
        return counts

    assert local_processes.run_simulated(sent) == [5, 10]


def test_process_restarted_beside_a_cold_server_waits_a_second() -> None:
    """What the process before it sent in the last second isn't known."""

    async def sent(clock: clocks.Clock) -> list[int]:
        backend = local_processes.backend(
            clock, SLOTS, COLD_PER_S, warmup_left_s=10.0
        )
        tasks = ask(backend, 5)
        counts = []
        for wait_s in (0.9, 0.2):
            await asyncio.sleep(wait_s)
            counts.append(sent_count(backend))
        assert len(tasks) == 5
        return counts

    assert local_processes.run_simulated(sent) == [0, 5]


def test_service_without_a_rate_is_sent_everything_at_once() -> None:
    async def sent(clock: clocks.Clock) -> int:
        backend = local_processes.backend(clock, SLOTS, warmup_left_s=10.0)
        tasks = ask(backend, SLOTS)
        await asyncio.sleep(0.01)
        assert len(tasks) == SLOTS
        return sent_count(backend)

    assert local_processes.run_simulated(sent) == SLOTS
