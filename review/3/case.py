"""Machines get SIGTERM in turn while requests keep coming."""

import asyncio
import math
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

REQUESTS_PER_S = 25
"""Requests of the requesters of one machine."""

MEAN_WORK_S = 0.36
SPREAD = 0.8
MAX_WORK_S = 2.2
"""Work of ``report-read``; it varies as in the site file."""

DEADLINE_MS = 6000
ROUTE_TIMEOUT_MS = 3000
TARGET_MS = 2000
TIMEOUT_MARGIN_S = 0.1
SLOTS = 18

EXCUSED_S = 3.0 + 0.1
"""Time after SIGTERM up to which the rule excuses a request, and a margin."""
GRACE_S = 6
GAP_S = 4.0
RUN_S = 80.0
DOWN_S = 0.3
SETTLE_S = 4.0


_RNG = random.Random(5)


def work(_request: harness.Message) -> tuple[float, bytes]:
    """Return how long a request runs and the body of its response."""
    mu = math.log(MEAN_WORK_S) - SPREAD**2 / 2
    return min(MAX_WORK_S, _RNG.lognormvariate(mu, SPREAD)), b"report"


class Sent:
    """A request of a requester and what became of it."""

    def __init__(self, machine: harness.Machine, request_id: str) -> None:
        self.machine = machine
        self.request_id = request_id
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.answer: harness.Answer | None = None


async def requesters(
    fleet: harness.Fleet, machine: harness.Machine, sent: list
) -> None:
    """Send requests of the requesters on one machine."""
    rng = random.Random(machine.name)
    while True:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
        if fleet.may_send(machine):
            harness.in_background(one(machine, sent))


async def one(machine: harness.Machine, sent: list) -> None:
    """Send one request on a new connection."""
    connection = harness.Connection(machine.outbound)
    try:
        await connection.open()
    except (OSError, TimeoutError):
        return
    headers = harness.request_headers("hulo84.example", DEADLINE_MS)
    entry = Sent(machine, headers["Request-Id"])
    connection.send("GET", "/report/2f", headers)
    entry.answer = await connection.receive(DEADLINE_MS / 1000)
    entry.ended_at = time.monotonic()
    connection.close()
    sent.append(entry)


async def case(record: harness.Record) -> int:
    """Run the case; return its exit status."""
    fleet = harness.Fleet(record, GRACE_S)
    try:
        for number, zone in enumerate("abcde"):
            machine = fleet.add(f"m{number}", f"ne-{zone}", "reporting", SLOTS)
            machine.server.work = work
        await fleet.start(
            harness.desired_state(
                [
                    harness.route(
                        "report",
                        "reporting",
                        "idempotent",
                        ROUTE_TIMEOUT_MS,
                        TARGET_MS,
                    )
                ],
                {"reporting": False},
            )
        )
        for machine in fleet.machines:
            await harness.retry_until_served(machine, "/report/2f")
        sent: list[Sent] = []
        tasks = [
            asyncio.create_task(requesters(fleet, machine, sent))
            for machine in fleet.machines
        ]
        await asyncio.sleep(SETTLE_S)
        restarts = set()
        for number in range(round(RUN_S / GAP_S)):
            machine = fleet.machines[number % len(fleet.machines)]
            if harness.trouble():
                restarts.add(asyncio.create_task(restart(machine)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(1.0)
        return judge(fleet, record, sent)
    finally:
        await fleet.stop()


_TERMS: dict[str, list[float]] = {}


def record_term(machine: harness.Machine) -> None:
    """Remember when a machine got SIGTERM."""
    _TERMS.setdefault(machine.name, []).append(time.monotonic())


def excused(entry: Sent) -> bool:
    """Return whether a request was sent no later than 3 s after SIGTERM.

    If its server was still at work in the last sixth of ``grace_s``, such a
    request isn't counted.
    """
    terms = [
        at for at in _TERMS.get(entry.machine.name, []) if at < entry.ended_at
    ]
    if not terms:
        return False
    in_last_sixth = entry.ended_at >= terms[-1] + GRACE_S * 5 / 6
    return in_last_sixth and entry.sent_at <= terms[-1] + EXCUSED_S


def since_term(entry: Sent) -> float:
    """Return the time from the last SIGTERM to the sending of a request."""
    terms = _TERMS.get(entry.machine.name, [])
    return entry.sent_at - max(
        (at for at in terms if at < entry.ended_at), default=0.0
    )


async def restart(machine: harness.Machine) -> None:
    """Stop a process as the platform does, and start it again."""
    record_term(machine)
    machine.signal(signal.SIGTERM)
    if not await machine.wait_end(GRACE_S):
        machine.signal(signal.SIGKILL)
        await machine.wait_end(1.0)
    await asyncio.sleep(DOWN_S)
    machine.start()


def judge(
    fleet: harness.Fleet, record: harness.Record, sent: list[Sent]
) -> int:
    """Apply the rule LOST to all requests."""
    begun = {
        begun.request_id: begun
        for machine in fleet.machines
        for begun in machine.server.begun
    }
    lost = []
    for entry in sent:
        run = begun.get(entry.request_id)
        if run is None or excused(entry):
            continue
        took_s = entry.ended_at - entry.sent_at
        if took_s >= ROUTE_TIMEOUT_MS / 1000 - TIMEOUT_MARGIN_S:
            continue
        cut = entry.answer.status == 0
        at_work = entry.ended_at < run.until
        replaced = entry.answer.status >= 500 and at_work
        if cut or replaced:
            lost.append(entry)
            record.say(
                f"{entry.request_id} at {entry.machine.name}: run by"
                f" {run.server_id} for {run.until - run.at:.2f} s, sent"
                f" {since_term(entry):.2f} s after SIGTERM, ended after"
                f" {entry.ended_at - entry.sent_at:.3f} s with status"
                f" {entry.answer.status} {entry.answer.detail}"
            )
    served = sum(entry.answer.status == 200 for entry in sent)
    record.say(
        f"{len(sent)} requests, {served} served, {len(lost)} passed on to a"
        " server and ended without its answer"
    )
    return harness.BROKEN if lost else harness.HELD


if __name__ == "__main__":
    harness.main(case, FOLDER / "record.txt")
