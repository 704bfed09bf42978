"""Requesters send bodies in chunks and keep their connections open."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

REQUESTERS = 32
"""Requesters on the machine on a usual day."""

BURST = 2.5
"""Many requesters come at once: the factor of the sites' days."""

ROUTE_TIMEOUT_S = 2.0
LATE_S = 0.5
PAUSE_S = 8.0
"""Time between two requests of a requester, whose connection stays open.

The limit is four fifths of ``idle_timeout_ms``, that is 12 s.
"""

RUN_S = 24.0


async def requester(
    machine: harness.Machine, number: int, answers: list
) -> None:
    """Send requests on one connection, each once the last is answered."""
    connection = harness.Connection(machine.outbound)
    await asyncio.sleep(2.0 * number / (REQUESTERS * BURST))
    while True:
        answers.append(await send(machine, connection))
        await asyncio.sleep(PAUSE_S)


async def send(
    machine: harness.Machine, connection: harness.Connection
) -> tuple[str, float, harness.Answer]:
    """Send one request with a body in chunks."""
    headers = harness.request_headers("hulo84.example", 2500)
    sent_at = time.monotonic()
    try:
        if not connection.is_open:
            await connection.open()
        connection.send("POST", "/enrol/2f", headers, b"x" * 300, chunked=True)
        answer = await connection.receive(ROUTE_TIMEOUT_S + LATE_S)
    except (OSError, TimeoutError) as error:
        answer = harness.Answer(0, {}, b"", 0.0, repr(error))
    machine.fleet.record.write(
        f"{headers['Request-Id']} sent {time.monotonic() - sent_at:.3f} s ago:"
        f" {answer.status} {answer.detail}"
    )
    return headers["Request-Id"], sent_at, answer


async def case(record: harness.Record) -> int:
    """Run the case; return its exit status."""
    fleet = harness.Fleet(record)
    try:
        for number, zone in enumerate("abc"):
            fleet.add(f"m{number}", f"ne-{zone}", "registrar", 9)
        await fleet.start(
            harness.desired_state(
                [harness.route("enrol", "registrar", "non_idempotent")],
                {"registrar": False},
            )
        )
        machine = fleet.machines[0]
        await harness.retry_until_served(machine, "/enrol/2f")
        count = round(REQUESTERS * (BURST if harness.trouble() else 1))
        answers: list = []
        tasks = [
            asyncio.create_task(requester(machine, number, answers))
            for number in range(count)
        ]
        await asyncio.sleep(RUN_S)
        for task in tasks:
            task.cancel()
        return judge(record, answers)
    finally:
        await fleet.stop()


def judge(record: harness.Record, answers: list) -> int:
    """Apply the rule CONFIG to the requests of one machine."""
    unanswered = [
        answer
        for _, _, answer in answers
        if answer.status == 0 or answer.took_s > ROUTE_TIMEOUT_S
    ]
    late = [answer for answer in unanswered if answer.status == 0]
    record.say(
        f"{len(answers)} requests, {len(unanswered)} unanswered at the"
        f" route's timeout_ms, {len(late)} of them half a second later"
    )
    return harness.BROKEN if 2 * len(late) > len(unanswered) else harness.HELD


if __name__ == "__main__":
    harness.main(case, FOLDER / "record.txt")
