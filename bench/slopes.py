"""Slopes of what the system costs: ``bench/slopes.py``.

Each slope is measured at four sizes or more, several times each, and fitted
by a line; ``bench/results/slopes.json`` keeps counts, medians, spread, fit
and residual.  ``docs/CAPACITY.md`` quotes nothing else (``misc/capacity.py``
makes the page from it).  CPU is process time, so that other work on the
machine disturbs it little.
"""

import collections.abc
import dataclasses
import gc
import io
import json
import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc
import typing

import click
import eliot
import msgspec
from bronzepaddle import (
    admission,
    bundle_ini,
    bundles,
    cells,
    clocks,
    http_messages,
    idempotency,
    ids,
    logs,
    quorum_leases,
    slot_routing,
    suspects,
    verdicts,
)
from bronzepaddle_node import heartbeats, metrics, state, tasks
from bronzepaddle_peers import datagrams, messages

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from integration import processes  # noqa: E402
from support import simulated_cell  # noqa: E402

RESULTS: typing.Final = ROOT / "bench" / "results" / "slopes.json"
REPEATS: typing.Final = 7
SERVICE: typing.Final = ids.ServiceName("lots")
KEY: typing.Final = b"k" * 32

IDLE_MEMBERS: typing.Final = (3, 6, 9, 15)

Work: typing.TypeAlias = collections.abc.Callable[[int], tuple[float, int]]
"""Returns what was spent for a size, and by how many units."""


@dataclasses.dataclass
class Point:
    """Several measurements at one size."""

    size: int
    count: int
    median: float
    least: float
    most: float


@dataclasses.dataclass
class Slope:
    """A line through the medians: ``base + per_unit * size``."""

    unit: str
    points: list[Point]
    base: float
    per_unit: float
    residual: float


def measured(
    unit: str, sizes: tuple[int, ...], work: Work, repeats: int = REPEATS
) -> Slope:
    """Measure at each size and fit a line by least squares."""
    points = []
    for size in sizes:
        found = []
        for _ in range(repeats):
            spent, count = work(size)
            found.append(spent / count)
        points.append(
            Point(
                size, count, statistics.median(found), min(found), max(found)
            )
        )
    xs = [float(point.size) for point in points]
    ys = [point.median for point in points]
    per_unit, base = statistics.linear_regression(xs, ys)
    off = [abs(base + per_unit * x - y) for x, y in zip(xs, ys, strict=True)]
    return Slope(unit, points, base, per_unit, max(off))


def cpu_us(call: collections.abc.Callable[[], object], count: int) -> float:
    """Return the CPU microseconds that ``count`` calls took."""
    began = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - began) * 1e6


def held_bytes(make: collections.abc.Callable[[], object]) -> float:
    """Return the bytes that what ``make`` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


# What is measured.


def view_of(members: int, slots: int) -> cells.Cell:
    """Return a cell with so many members and slots."""
    names = [ids.MemberId(f"node-{number}") for number in range(members)]
    return cells.Cell(
        cell=ids.CellId("cell-1"),
        term=ids.Term(1),
        coordinator=names[0],
        membership=ids.MembershipVersion(members),
        members={
            name: cells.Member(
                cells.Address("127.0.0.1", 20_000 + number),
                ids.ZoneName("zone-a"),
                ids.Incarnation(ids.new_id()),
                cells.MemberState.ACTIVE,
                service=SERVICE,
                weight=9,
            )
            for number, name in enumerate(names)
        },
        services={
            SERVICE: tuple(
                cells.Grant(names[slot % members], ids.Token(slot + 1))
                for slot in range(slots)
            )
        },
        next_token=ids.Token(slots + 1),
    )


class _Socket:
    """Sends as a process does, to a port where nobody reads."""

    def __init__(self, to: int) -> None:
        import socket

        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.to = ("127.0.0.1", to)

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Seal and send."""
        self.socket.sendto(
            datagrams.encode_authenticated(heartbeat, KEY), self.to
        )


def _member(members: int) -> tuple[state.NodeState, heartbeats.Heartbeats]:
    import socket

    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    view = view_of(members, 64)
    name = ids.MemberId("node-0")
    node_state = state.NodeState(
        state.Identity(
            name,
            view.cell,
            ids.ZoneName("zone-a"),
            view.members[name].incarnation,
            view.members[name].address,
            "",
            0,
        ),
        quorum_leases.LeaseTimes(),
        clocks.BootClock(),
    )
    node_state.adopt(cells.VersionedCell(ids.ObjectVersion(1), view))
    link: typing.Any = _Socket(sink.getsockname()[1])
    sender = heartbeats.Heartbeats(node_state, link, tasks.Tasks())
    sender.__dict__["sink"] = sink
    return node_state, sender


def beat(members: int) -> tuple[float, int]:
    """Send rounds of heartbeats."""
    _, sender = _member(members)
    return cpu_us(sender.send_round, 200), 200


def _heartbeat(view: cells.Cell, sequence: int) -> messages.Heartbeat:
    sender = ids.MemberId("node-1")
    return messages.Heartbeat(
        cell=view.cell,
        sender=sender,
        incarnation=view.members[sender].incarnation,
        sequence=sequence,
        cell_version=ids.ObjectVersion(1),
        membership=view.membership,
        bundle_version=ids.BundleVersion(0),
        echo=sequence,
        leased=True,
    )


def receive(members: int) -> tuple[float, int]:
    """Unseal and take in heartbeats of one peer, vouches included."""
    node_state, sender = _member(members)
    assert node_state.view is not None
    first = (1 << 39) + 1
    node_state.lease.sequence = first - 1
    sealed = []
    for number in range(1000):
        sequence = first + number
        sealed.append(
            datagrams.encode_authenticated(
                _heartbeat(node_state.view.cell, sequence), KEY
            )
        )
    began = time.process_time()
    for datagram in sealed:
        node_state.lease.next_heartbeat(node_state.time.now())
        heartbeat = datagrams.decode_authenticated(
            datagram, KEY, messages.Heartbeat
        )
        assert heartbeat is not None
        sender.receive(heartbeat)
    return (time.process_time() - began) * 1e6, len(sealed)


def encode_cell(slots: int) -> tuple[float, int]:
    """Encode and decode a cell object."""
    view = view_of(15, slots)
    count = max(3, 20_000 // slots)
    return cpu_us(lambda: cells.decode(cells.encode(view)), count), count


def cell_bytes(slots: int) -> tuple[float, int]:
    """Return the size of a cell object in bytes."""
    return float(len(cells.encode(view_of(15, slots)))), 1


def lookup(slots: int) -> tuple[float, int]:
    """Hash a key and look its grant up."""
    view = view_of(15, slots)

    def once() -> object:
        return view.grant(SERVICE, slot_routing.slot_of("finance-101", slots))

    return cpu_us(once, 20_000), 20_000


def slot_memory(slots: int) -> tuple[float, int]:
    """Return the memory of a table of slots, in bytes."""
    return held_bytes(lambda: view_of(15, slots)), 1


def bundle_text(services: int) -> str:
    """Return a bundle with so many services."""
    head = "[bundle]\nversion = 1\n[priority p]\nrank = 0\nshare = 0.5\n"
    return head + "".join(
        f"[service s{number}]\nprefix = /s{number}\nkey = path 0\n"
        f"slots = 64\npriority = p\n"
        for number in range(services)
    )


def parse_bundle(services: int) -> tuple[float, int]:
    """Parse and check a bundle."""
    text = bundle_text(services)
    return cpu_us(lambda: bundle_ini.parse(text), 5), 5


PRIORITY: typing.Final = bundles.Priority(
    ids.PriorityName("p"), 0, 0.5, 1.0, 10_000, 10.0
)


def admit(waiting: int) -> tuple[float, int]:
    """Ask for a slot and release it while others wait."""
    slots = admission.Admission([PRIORITY], 9, 0.0)
    running = [slots.submit(PRIORITY.name, "c", 1e9, 0.0) for _ in range(9)]
    running += [
        slots.submit(PRIORITY.name, f"c{number % 50}", 1e9, 0.0)
        for number in range(waiting)
    ]
    queue = iter(running)

    def once() -> None:
        running.append(slots.submit(PRIORITY.name, "c", 1e9, 0.0))
        slots.release(next(queue), 0.0, shed=False)

    return cpu_us(once, 2000), 2000


REQUEST: typing.Final = http_messages.Request(
    request_id=ids.RequestId("r" * 32),
    caller="127.0.0.1",
    service=SERVICE,
    priority=PRIORITY.name,
    method="GET",
    target="/lots/finance-101",
    headers=(),
    key="finance-101",
    slot=ids.SlotId(7),
    deadline=10.0,
    idempotent=True,
    idempotency_key=None,
    first_attempt=False,
    body_length=0,
)
ANSWER: typing.Final = http_messages.refusal(
    verdicts.Reason.NO_OWNER, ids.MemberId("node-1")
)


def log_lines(lines: int) -> tuple[float, int]:
    """Write routing lines."""
    sink = io.BytesIO()
    destination = eliot.FileDestination(file=sink)
    eliot.add_destinations(destination)

    def once() -> None:
        logs.routing(
            ids.MemberId("node-1"),
            REQUEST,
            ids.MemberId("node-2"),
            ids.Token(7),
            ids.ObjectVersion(9),
            ids.BundleVersion(3),
            ANSWER,
            1,
            0.004,
        )

    try:
        return cpu_us(once, lines), lines
    finally:
        eliot.remove_destination(destination)


def metric_points(count: int) -> tuple[float, int]:
    """Count answers."""
    node_state, _ = _member(3)
    meters = metrics.Metrics(node_state)
    try:
        return cpu_us(
            lambda: meters.record_response(REQUEST, ANSWER, 0.004), count
        ), count
    finally:
        meters.close()


def idempotency_memory(keys: int) -> tuple[float, int]:
    """Return the memory of a window of keys with small results."""
    result = idempotency.Result(200, (), b"x" * 100, verdicts.Verdict.RAN)

    def make() -> object:
        window = idempotency.Window(0)
        for number in range(keys):
            one = ids.IdempotencyKey(f"{number:036d}")
            window.results[one] = dataclasses.replace(result)
        return window

    return held_bytes(make), 1


def suspect_memory(count: int) -> tuple[float, int]:
    """Return the memory of a table of suspects."""

    def make() -> object:
        known = suspects.Suspects()
        for number in range(count):
            known.record(suspects.Fingerprint(f"{number:032x}"), 1, 0.0)
        return known

    return held_bytes(make), 1


def datagram_bytes(_members: int) -> tuple[float, int]:
    """Return the size of a heartbeat's datagram in bytes."""
    view = view_of(15, 64)
    return float(
        len(datagrams.encode_authenticated(_heartbeat(view, 1 << 40), KEY))
    ), 1


@dataclasses.dataclass
class StoreCalls:
    """Calls to the store for what happens to a cell of one size."""

    members: int
    writes_join_each: float = 0.0
    writes_loss: int = 0
    reads_loss: int = 0
    writes_stop: int = 0
    writes_at_rest_per_min: float = 0.0
    reads_at_rest_per_min: float = 0.0
    unavailable_loss_s: float = 0.0


def store_calls(members: int) -> StoreCalls:
    """Count the store's calls under a turned clock."""
    found = StoreCalls(members)

    async def story(cell: simulated_cell.SimulatedCell) -> None:
        names = [f"m{number:02d}" for number in range(members)]
        for name in names:
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, 60)
        await cell.pass_time(15)
        objects = cell.objects
        found.writes_join_each = objects.writes / members
        writes, reads = objects.writes, objects.reads
        await cell.pass_time(60)
        found.writes_at_rest_per_min = objects.writes - writes
        found.reads_at_rest_per_min = objects.reads - reads
        writes, reads = objects.writes, objects.reads
        owner = next(
            name
            for name, one in cell.processes.items()
            if list(one.active_slots())
        )
        await cell.lose(owner)
        found.unavailable_loss_s = await cell.wait_until_served(
            simulated_cell.SLOTS, 20
        )
        found.writes_loss = objects.writes - writes
        found.reads_loss = objects.reads - reads
        await cell.pass_time(40)
        writes = objects.writes
        owner = next(
            name
            for name, one in cell.processes.items()
            if list(one.active_slots())
        )
        await cell.processes[owner].member.self_maintenance.leave_cell(10.0)
        await cell.lose(owner)
        await cell.pass_time(5)
        found.writes_stop = objects.writes - writes

    simulated_cell.run_scenario(story, seed=members)
    return found


def idle_process(members: int) -> dict[str, float]:
    """Return CPU and memory of processes that serve nothing."""
    import path

    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(pathlib.Path(folder))
        try:
            for number in range(members):
                fleet.add(f"n{number:02d}", "lots")
            fleet.until_settled()
            time.sleep(5)
            pids = [vm.node.pid for vm in fleet.vms.values() if vm.node]
            before = [path.cpu_s(pid) for pid in pids]
            began = time.monotonic()
            time.sleep(15)
            took = time.monotonic() - began
            used = [
                path.cpu_s(pid) - start
                for pid, start in zip(pids, before, strict=True)
            ]
            return {
                "members": members,
                "cpu_share": statistics.median(used) / took,
                "rss_mb": statistics.median(map(_rss_mb, pids)),
                "store_calls_per_min": statistics.median(
                    fleet.status(vm)["store_calls_last_minute"]
                    for vm in fleet.vms.values()
                ),
            }
        finally:
            fleet.stop()


def _rss_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(one for one in text.splitlines() if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


SLOPES: typing.Final[dict[str, tuple[str, tuple[int, ...], Work]]] = {
    "beat": ("us a round, by members", (3, 6, 9, 15, 30), beat),
    "receive": ("us a heartbeat, by members", (3, 6, 9, 15), receive),
    "datagram": ("bytes, by members", (3, 6, 9, 15), datagram_bytes),
    "cell_codec": ("us, by slots", (64, 256, 1024, 4096, 16384), encode_cell),
    "cell_bytes": ("bytes, by slots", (64, 256, 1024, 4096), cell_bytes),
    "lookup": (
        "us a key, by slots",
        (1000, 10_000, 100_000, 1_000_000),
        lookup,
    ),
    "slot_memory": (
        "bytes, by slots",
        (1000, 4000, 16000, 64000),
        slot_memory,
    ),
    "bundle_parse": ("us, by services", (4, 16, 64, 256), parse_bundle),
    "admit": ("us a request, by waiting", (0, 10, 100, 1000), admit),
    "log_line": ("us a line, by lines", (200, 500, 1000, 2000), log_lines),
    "metric": (
        "us a point, by points",
        (500, 1000, 2000, 4000),
        metric_points,
    ),
    "idempotency_memory": (
        "bytes, by keys",
        (500, 1000, 2000, 4000),
        idempotency_memory,
    ),
    "suspect_memory": (
        "bytes, by suspects",
        (100, 200, 400, 800),
        suspect_memory,
    ),
}


@click.command()
@click.option("--only", default="", help="Measure one slope and print it.")
def main(only: str) -> None:
    """Measure every slope and write the results file."""
    sys.path.insert(0, str(ROOT / "bench"))
    slopes = {}
    for name, (unit, sizes, work) in SLOPES.items():
        if only and name != only:
            continue
        slope = measured(unit, sizes, work)
        slopes[name] = slope
        click.echo(
            f"{name}: {slope.base:.3f} + {slope.per_unit:.6f} a unit "
            f"({slope.unit}; residual {slope.residual:.3f})"
        )
    if only == "idle":
        # The other figures stay as they were measured.
        kept = json.loads(RESULTS.read_text())
        kept["idle"] = [idle_process(members) for members in IDLE_MEMBERS]
        click.echo(json.dumps(kept["idle"]))
        RESULTS.write_text(json.dumps(kept, indent=1) + "\n")
    if only:
        return
    found = {
        "slopes": slopes,
        "store": [store_calls(members) for members in (3, 5, 9, 14)],
        "idle": [idle_process(members) for members in IDLE_MEMBERS],
    }
    RESULTS.parent.mkdir(exist_ok=True)
    body = msgspec.json.format(msgspec.json.encode(found), indent=1)
    RESULTS.write_bytes(body + b"\n")
    click.echo(json.dumps(json.loads(body)["store"]))
    click.echo(json.dumps(json.loads(body)["idle"]))


if __name__ == "__main__":
    main()
