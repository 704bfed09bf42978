"""A status report of another writer names a service that isn't there."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MACHINES = 4
REQUESTS_PER_S = 40
OVERLAP_S = 0.5
REPORTS = 8
PAUSE_S = 7.3
"""Time between two odd reports; the keys have settled by then."""

UNUSED_PORT = 20_999


async def requester(
    fleet: harness.Fleet, rng: random.Random, statuses: list
) -> None:
    """Send requests for all keys, one after the other, at a fixed rate."""
    while True:
        machine = rng.choice(fleet.machines)
        harness.in_background(one(machine, rng.randrange(65536), statuses))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def one(machine: harness.Machine, key: int, statuses: list) -> None:
    """Send one request on a new connection."""
    connection = harness.Connection(machine.outbound)
    headers = harness.request_headers("hulo84.example", 2000, key)
    try:
        await connection.open()
        connection.send("GET", "/read/2f", headers)
        answer = await connection.receive(2.5)
    except (OSError, TimeoutError) as error:
        answer = harness.Answer(0, {}, b"", 0.0, repr(error))
    connection.close()
    statuses.append(answer.status)
    machine.fleet.record.write(
        f"{machine.name} {headers['Request-Id']} key {key}: {answer.status}"
    )


async def odd_report(machine: harness.Machine, number: int) -> None:
    """Send the report of another writer to a control address."""
    document = {
        "address": f"{machine.server.host}:{UNUSED_PORT}",
        "info": {
            "service": "nosuch",
            "version": "v1",
            "zone": "a",
            "slots": 9,
        },
        "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
        "born": time.time_ns() // 1_000_000,
    }
    status = await harness.call(
        machine.control,
        "PUT",
        f"/api/instances/i-odd-{number}",
        json.dumps(document).encode(),
    )
    machine.fleet.record.say(f"odd report to {machine.name}: {status}")


async def case(record: harness.Record) -> int:
    """Run the case; return its exit status."""
    fleet = harness.Fleet(record)
    try:
        for number in range(MACHINES):
            zone = f"ne-{'abc'[number % 3]}"
            fleet.add(f"m{number}", zone, "catalogue", 9)
        await fleet.start(
            harness.desired_state(
                [harness.route("read", "catalogue")], {"catalogue": True}
            )
        )
        for machine in fleet.machines:
            await harness.retry_until_served(machine, "/read/2f", 5)
        await asyncio.sleep(4.0)
        statuses: list = []
        rng = random.Random(3)
        task = asyncio.create_task(requester(fleet, rng, statuses))
        for number in range(REPORTS):
            await asyncio.sleep(PAUSE_S)
            if harness.trouble():
                await odd_report(fleet.machines[number % MACHINES], number)
        await asyncio.sleep(PAUSE_S)
        task.cancel()
        record.say(f"{len(statuses)} requests, {statuses.count(200)} served")
        return judge(fleet, record)
    finally:
        await fleet.stop()


def judge(fleet: harness.Fleet, record: harness.Record) -> int:
    """Apply the rule OWNER to all holds of all servers."""
    holds = [
        (server_id, held)
        for machine in fleet.machines
        for server_id, held in machine.server.history
    ]
    begun = [
        begun for machine in fleet.machines for begun in machine.server.begun
    ]
    broken = 0
    for index, (one_id, one) in enumerate(holds):
        for other_id, other in holds[index + 1 :]:
            first = max(one.first, other.first)
            last = min(one.last, other.last)
            since = max(one.since, other.since)
            until = min(one.until, other.until)
            if one_id == other_id or first > last or since >= until:
                continue
            runs = {
                run.server_id
                for run in begun
                if run.server_id in (one_id, other_id)
                and run.key is not None
                and first <= run.key <= last
                and since <= run.at <= until
            }
            if until - since > OVERLAP_S or len(runs) == 2:
                broken += 1
                record.say(
                    f"{one_id} and {other_id} both hold {first}-{last} for"
                    f" {until - since:.2f} s with generation numbers"
                    f" {one.fence} and {other.fence}; both run: "
                    f"{len(runs) == 2}"
                )
    return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    harness.main(case, FOLDER / "record.txt")
