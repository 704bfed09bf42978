"""Measures how the system's costs grow with its size.

Each cost is measured several times at four or more sizes, and a line is
fitted to the medians.  Also counts calls to the store, and measures idle
processes.  Writes counts, medians, extremes, lines and residuals to
``bench/results/slopes.json``, from which ``misc/capacity.py`` generates
``docs/CAPACITY.md``.  Measures CPU time instead of elapsed time, because
other load on the machine affects it little.
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
MAC_KEY: typing.Final = b"k" * 32

IDLE_MEMBERS: typing.Final = (3, 6, 9, 15)

Measurement: typing.TypeAlias = collections.abc.Callable[
    [int], tuple[float, int]
]
"""Returns, for a size, the total cost and the number of operations."""


@dataclasses.dataclass
class Point:
    """The costs per operation of several measurements at one size.

    ``count`` is the number of operations in each measurement.
    """

    size: int
    count: int
    median: float
    least: float
    most: float


@dataclasses.dataclass
class FittedLine:
    """The line ``base + per_unit * size``, fitted to the medians.

    ``unit`` names the units of a cost and of a size, ``residual`` is the
    largest distance of a median from the line.
    """

    unit: str
    points: list[Point]
    base: float
    per_unit: float
    residual: float


def measure_and_fit(
    unit: str,
    sizes: tuple[int, ...],
    measure: Measurement,
    repeats: int = REPEATS,
) -> FittedLine:
    """Measure at each size and fit a line by least squares."""
    points = []
    for size in sizes:
        costs = []
        for _ in range(repeats):
            cost, count = measure(size)
            costs.append(cost / count)
        points.append(
            Point(
                size, count, statistics.median(costs), min(costs), max(costs)
            )
        )
    xs = [float(point.size) for point in points]
    ys = [point.median for point in points]
    per_unit, base = statistics.linear_regression(xs, ys)
    residuals = [
        abs(base + per_unit * x - y) for x, y in zip(xs, ys, strict=True)
    ]
    return FittedLine(unit, points, base, per_unit, max(residuals))


def cpu_us(call: collections.abc.Callable[[], object], count: int) -> float:
    """Return the CPU time of ``count`` calls in microseconds."""
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) * 1e6


def held_bytes(make: collections.abc.Callable[[], object]) -> float:
    """Return the memory in bytes that the result of ``make`` takes."""
    gc.collect()
    tracemalloc.start()
    result = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(size)


# The measurements.


def make_cell(members: int, slots: int) -> cells.Cell:
    """Return a cell whose slots are granted to its members in turn."""
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


class _HeartbeatSocket:
    """Sends heartbeats as a process does, to a port that nobody reads."""

    def __init__(self, port: int) -> None:
        import socket

        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.target = ("127.0.0.1", port)

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Encode a heartbeat with its authentication and send it."""
        self.socket.sendto(
            datagrams.encode_authenticated(heartbeat, MAC_KEY), self.target
        )


def _make_member(
    members: int,
) -> tuple[state.NodeState, heartbeats.Heartbeats]:
    """Return the state and the heartbeats of one member of a cell."""
    import socket

    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    cell = make_cell(members, 64)
    name = ids.MemberId("node-0")
    node_state = state.NodeState(
        state.Identity(
            name,
            cell.cell,
            ids.ZoneName("zone-a"),
            cell.members[name].incarnation,
            cell.members[name].address,
            "",
            0,
        ),
        quorum_leases.LeaseTimes(),
        clocks.BootClock(),
    )
    node_state.adopt_cell(cells.VersionedCell(ids.ObjectVersion(1), cell))
    link: typing.Any = _HeartbeatSocket(sink.getsockname()[1])
    sender = heartbeats.Heartbeats(node_state, link, tasks.Tasks())
    # Keep the socket open as long as the sender exists.
    sender.__dict__["sink"] = sink
    return node_state, sender


def send_heartbeats(members: int) -> tuple[float, int]:
    """Measure a round of heartbeats to all other members."""
    _, sender = _make_member(members)
    return cpu_us(sender.send_heartbeats, 200), 200


def _heartbeat(cell: cells.Cell, sequence: int) -> messages.Heartbeat:
    sender = ids.MemberId("node-1")
    return messages.Heartbeat(
        cell=cell.cell,
        sender=sender,
        incarnation=cell.members[sender].incarnation,
        sequence=sequence,
        cell_version=ids.ObjectVersion(1),
        membership=cell.membership,
        bundle_version=ids.BundleVersion(0),
        echo=sequence,
        leased=True,
    )


def receive_heartbeats(members: int) -> tuple[float, int]:
    """Measure the receipt of a heartbeat that acknowledges one of our own."""
    node_state, sender = _make_member(members)
    assert node_state.known_cell is not None
    first_sequence = (1 << 39) + 1
    node_state.lease.sequence = first_sequence - 1
    encoded = []
    for number in range(1000):
        sequence = first_sequence + number
        encoded.append(
            datagrams.encode_authenticated(
                _heartbeat(node_state.known_cell.cell, sequence), MAC_KEY
            )
        )
    started = time.process_time()
    for datagram in encoded:
        node_state.lease.next_heartbeat(node_state.clock.now())
        heartbeat = datagrams.decode_authenticated(
            datagram, MAC_KEY, messages.Heartbeat
        )
        assert heartbeat is not None
        sender.receive(heartbeat)
    return (time.process_time() - started) * 1e6, len(encoded)


def encode_and_decode_cell(slots: int) -> tuple[float, int]:
    """Measure encoding a cell object and decoding it again."""
    cell = make_cell(15, slots)
    count = max(3, 20_000 // slots)
    return cpu_us(lambda: cells.decode(cells.encode(cell)), count), count


def cell_bytes(slots: int) -> tuple[float, int]:
    """Return the size of a cell object in bytes."""
    return float(len(cells.encode(make_cell(15, slots)))), 1


def look_up_grant(slots: int) -> tuple[float, int]:
    """Measure hashing a key to its slot and looking up the slot's grant."""
    cell = make_cell(15, slots)

    def look_up() -> object:
        return cell.grant(SERVICE, slot_routing.slot_of("finance-101", slots))

    return cpu_us(look_up, 20_000), 20_000


def slot_memory(slots: int) -> tuple[float, int]:
    """Return the memory of a cell in bytes."""
    return held_bytes(lambda: make_cell(15, slots)), 1


def bundle_text(services: int) -> str:
    """Return the text of a bundle with a number of services."""
    head = "[bundle]\nversion = 1\n[priority p]\nrank = 0\nshare = 0.5\n"
    return head + "".join(
        f"[service s{number}]\nprefix = /s{number}\nkey = path 0\n"
        f"slots = 64\npriority = p\n"
        for number in range(services)
    )


def parse_bundle(services: int) -> tuple[float, int]:
    """Measure the parsing and validation of a bundle."""
    text = bundle_text(services)
    return cpu_us(lambda: bundle_ini.parse(text), 5), 5


PRIORITY: typing.Final = bundles.Priority(
    ids.PriorityName("p"), 0, 0.5, 1.0, 10_000, 10.0
)


def admit(waiting: int) -> tuple[float, int]:
    """Measure a request for a slot and a release while others wait."""
    queue = admission.Admission([PRIORITY], 9, 0.0)
    tickets = [queue.submit(PRIORITY.name, "c", 1e9, 0.0) for _ in range(9)]
    tickets += [
        queue.submit(PRIORITY.name, f"c{number % 50}", 1e9, 0.0)
        for number in range(waiting)
    ]
    unreleased = iter(tickets)

    def submit_and_release() -> None:
        tickets.append(queue.submit(PRIORITY.name, "c", 1e9, 0.0))
        queue.release(next(unreleased), 0.0, shed=False)

    return cpu_us(submit_and_release, 2000), 2000


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
RESPONSE: typing.Final = http_messages.rejection(
    verdicts.Reason.NO_OWNER, ids.MemberId("node-1")
)


def write_log_lines(lines: int) -> tuple[float, int]:
    """Measure writing the log line of a routed request."""
    sink = io.BytesIO()
    destination = eliot.FileDestination(file=sink)
    eliot.add_destinations(destination)

    def log_request() -> None:
        logs.routing(
            ids.MemberId("node-1"),
            REQUEST,
            ids.MemberId("node-2"),
            ids.Token(7),
            ids.ObjectVersion(9),
            ids.BundleVersion(3),
            RESPONSE,
            1,
            0.004,
        )

    try:
        return cpu_us(log_request, lines), lines
    finally:
        eliot.remove_destination(destination)


def count_responses(count: int) -> tuple[float, int]:
    """Measure updating the metrics for a response."""
    node_state, _ = _make_member(3)
    metrics_recorder = metrics.NodeMetrics(node_state)
    try:
        return cpu_us(
            lambda: metrics_recorder.record_response(REQUEST, RESPONSE, 0.004),
            count,
        ), count
    finally:
        metrics_recorder.close()


def idempotency_memory(keys: int) -> tuple[float, int]:
    """Return the memory in bytes of a window of keys with small results."""
    result = idempotency.Result(200, (), b"x" * 100, verdicts.Verdict.RAN)

    def make() -> object:
        window = idempotency.Window(0)
        for number in range(keys):
            key = ids.IdempotencyKey(f"{number:036d}")
            window.results[key] = dataclasses.replace(result)
        return window

    return held_bytes(make), 1


def suspect_memory(count: int) -> tuple[float, int]:
    """Return the memory in bytes of the records of suspects."""

    def make() -> object:
        records = suspects.Suspects()
        for number in range(count):
            records.record(suspects.Fingerprint(f"{number:032x}"), 1, 0.0)
        return records

    return held_bytes(make), 1


def datagram_bytes(_members: int) -> tuple[float, int]:
    """Return the size of a heartbeat datagram in bytes.

    ``_members`` is ignored, because a heartbeat holds no data per member.
    """
    cell = make_cell(15, 64)
    return float(
        len(datagrams.encode_authenticated(_heartbeat(cell, 1 << 40), MAC_KEY))
    ), 1


@dataclasses.dataclass
class StoreCalls:
    """The number of store calls of a cell of one size, by what happens.

    ``writes_join_each`` is the mean number of writes per member while all
    members start.  ``loss`` is the loss of a member, ``stop`` the planned stop
    of one; at rest nothing happens.  ``unavailable_loss_s`` is the time until
    all slots are served after a loss.
    """

    members: int
    writes_join_each: float = 0.0
    writes_loss: int = 0
    reads_loss: int = 0
    writes_stop: int = 0
    writes_at_rest_per_min: float = 0.0
    reads_at_rest_per_min: float = 0.0
    unavailable_loss_s: float = 0.0


def count_store_calls(members: int) -> StoreCalls:
    """Count the store calls of a cell in simulated time."""
    calls = StoreCalls(members)

    async def scenario(cell: simulated_cell.SimulatedCell) -> None:
        names = [f"m{number:02d}" for number in range(members)]
        for name in names:
            cell.start(name)
        await cell.wait_until_served(simulated_cell.SLOTS, 60)
        await cell.pass_time(15)
        store_server = cell.store_server
        calls.writes_join_each = store_server.writes / members
        writes, reads = store_server.writes, store_server.attempts
        await cell.pass_time(60)
        calls.writes_at_rest_per_min = store_server.writes - writes
        calls.reads_at_rest_per_min = store_server.attempts - reads
        writes, reads = store_server.writes, store_server.attempts
        owner = next(
            name
            for name, process in cell.processes.items()
            if list(process.active_slots())
        )
        await cell.lose(owner)
        calls.unavailable_loss_s = await cell.wait_until_served(
            simulated_cell.SLOTS, 20
        )
        calls.writes_loss = store_server.writes - writes
        calls.reads_loss = store_server.attempts - reads
        await cell.pass_time(40)
        writes = store_server.writes
        owner = next(
            name
            for name, process in cell.processes.items()
            if list(process.active_slots())
        )
        await cell.processes[owner].membership.self_maintenance.leave_cell(
            10.0
        )
        await cell.lose(owner)
        await cell.pass_time(5)
        calls.writes_stop = store_server.writes - writes

    simulated_cell.run_scenario(scenario, seed=members)
    return calls


def measure_idle_processes(members: int) -> dict[str, float]:
    """Measure the processes of an idle cell and return the medians.

    ``cpu_share`` is the used share of one core.
    """
    import path

    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(pathlib.Path(folder))
        try:
            for number in range(members):
                fleet.add(f"n{number:02d}", "lots")
            fleet.wait_until_balanced()
            time.sleep(5)
            pids = [vm.node.pid for vm in fleet.vms.values() if vm.node]
            before_s = [path.cpu_s(pid) for pid in pids]
            started = time.monotonic()
            time.sleep(15)
            took_s = time.monotonic() - started
            used_s = [
                path.cpu_s(pid) - start_s
                for pid, start_s in zip(pids, before_s, strict=True)
            ]
            return {
                "members": members,
                "cpu_share": statistics.median(used_s) / took_s,
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
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


COSTS: typing.Final[dict[str, tuple[str, tuple[int, ...], Measurement]]] = {
    "beat": ("us a round, by members", (3, 6, 9, 15, 30), send_heartbeats),
    "receive": (
        "us a heartbeat, by members",
        (3, 6, 9, 15),
        receive_heartbeats,
    ),
    "datagram": ("bytes, by members", (3, 6, 9, 15), datagram_bytes),
    "cell_codec": (
        "us, by slots",
        (64, 256, 1024, 4096, 16384),
        encode_and_decode_cell,
    ),
    "cell_bytes": ("bytes, by slots", (64, 256, 1024, 4096), cell_bytes),
    "lookup": (
        "us a key, by slots",
        (1000, 10_000, 100_000, 1_000_000),
        look_up_grant,
    ),
    "slot_memory": (
        "bytes, by slots",
        (1000, 4000, 16000, 64000),
        slot_memory,
    ),
    "bundle_parse": ("us, by services", (4, 16, 64, 256), parse_bundle),
    "admit": ("us a request, by waiting", (0, 10, 100, 1000), admit),
    "log_line": (
        "us a line, by lines",
        (200, 500, 1000, 2000),
        write_log_lines,
    ),
    "metric": (
        "us a point, by points",
        (500, 1000, 2000, 4000),
        count_responses,
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
"""The unit, the sizes and the measurement of each cost."""


@click.command()
@click.option(
    "--only", default="", help="Measure only this cost and print it."
)
def main(only: str) -> None:
    """Measure all costs and write the results."""
    sys.path.insert(0, str(ROOT / "bench"))
    lines = {}
    for name, (unit, sizes, measure) in COSTS.items():
        if only and name != only:
            continue
        line = measure_and_fit(unit, sizes, measure)
        lines[name] = line
        click.echo(
            f"{name}: {line.base:.3f} + {line.per_unit:.6f} a unit "
            f"({line.unit}; residual {line.residual:.3f})"
        )
    if only == "idle":
        # Replace only these figures of the results file.
        results = json.loads(RESULTS.read_text())
        results["idle"] = [
            measure_idle_processes(members) for members in IDLE_MEMBERS
        ]
        click.echo(json.dumps(results["idle"]))
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    if only:
        return
    measured = {
        "slopes": lines,
        "store": [count_store_calls(members) for members in (3, 5, 9, 14)],
        "idle": [measure_idle_processes(members) for members in IDLE_MEMBERS],
    }
    RESULTS.parent.mkdir(exist_ok=True)
    body = msgspec.json.format(msgspec.json.encode(measured), indent=1)
    RESULTS.write_bytes(body + b"\n")
    click.echo(json.dumps(json.loads(body)["store"]))
    click.echo(json.dumps(json.loads(body)["idle"]))


if __name__ == "__main__":
    main()
