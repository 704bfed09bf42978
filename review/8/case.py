"""A restarted process uses a server whose leaving was acknowledged before.

A server leaves without draining first: it sends ``DELETE``, which the process
beside it acknowledges, and serves on for some seconds.  The process is killed
and started again.  A status report that the server had sent before its
``DELETE`` arrives late.
"""

import asyncio
import collections
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as rigging  # noqa: E402

DRAIN_S = 2.0
"""``drain_ms`` of the site."""

KILL_AFTER_S = 0.2
RESTART_AFTER_S = 0.5

REPORT_LATE_S = 6.0
"""By then the new process has been in touch for longer than `contact_ms`."""

SERVES_ON_S = 9.0
SEND_PAUSE_S = 0.05


async def send(
    rig: rigging.Rig,
    node: rigging.Node,
    request_id: str,
    outcomes: collections.Counter[str],
) -> None:
    """Send a request that must not be repeated; count how it ended."""
    headers = {"Request-Id": request_id, "Deadline-Ms": "3000"}
    try:
        answer = await rigging.exchange(
            node.callers, "POST", "/once/x?work_ms=300", headers, b"order"
        )
        outcome = str(answer.status)
    except (OSError, EOFError, TimeoutError) as error:
        outcome = type(error).__name__
    outcomes[outcome] += 1
    rig.record(f"{request_id}: {outcome}")


async def case(rig: rigging.Rig) -> bool:
    """Return whether requests reach the server after its drain time."""
    routes = [rigging.route("/once/", "registrar", "non_idempotent")]
    await rig.store.put("config", "main", rigging.desired_state(1, routes))
    leaving = rigging.AppServer("i-1", "registrar")
    staying = rigging.AppServer("i-2", "registrar")
    beside_leaving = await rig.add("n1", leaving)
    beside_staying = await rig.add("n2", staying)
    reports = rig.background(leaving.keep_reporting(beside_leaving.control))
    rig.background(staying.keep_reporting(beside_staying.control))
    for node in (beside_leaving, beside_staying):
        await rig.wait_served(node, "/once/w")
    await asyncio.sleep(4)

    reports.cancel()
    leaving.sequence += 1
    late_report = leaving.document()
    rig.record("i-1 sends a status report, which is held up")
    leaving.state = "leaving"
    answer = await rigging.exchange(
        beside_leaving.control, "DELETE", "/api/instances/i-1"
    )
    acknowledged_at = time.monotonic()
    rig.record(f"DELETE i-1: {answer.status}")
    if answer.status != 200:
        raise rigging.CouldNotRunError("not acknowledged")
    await asyncio.sleep(KILL_AFTER_S)
    if rigging.trouble():
        beside_leaving.send_signal(signal.SIGKILL)
        await beside_leaving.wait_ended()
        await asyncio.sleep(RESTART_AFTER_S)
        beside_leaving.start()
    await asyncio.sleep(acknowledged_at + REPORT_LATE_S - time.monotonic())
    status = await rigging.put_report(
        beside_leaving.control, "i-1", late_report
    )
    rig.record(f"the report of i-1 arrives: {status}")

    outcomes: collections.Counter[str] = collections.Counter()
    sending = []
    while time.monotonic() < acknowledged_at + SERVES_ON_S:
        request_id = f"q{len(sending)}"
        sending.append(
            asyncio.ensure_future(
                send(rig, beside_staying, request_id, outcomes)
            )
        )
        await asyncio.sleep(SEND_PAUSE_S)
    leaving.crash()
    rig.record("i-1 has ended")
    await asyncio.wait(sending)
    reached = [
        (request_id, at - acknowledged_at)
        for request_id, at in leaving.runs
        if at > acknowledged_at + DRAIN_S
    ]
    for request_id, after_s in reached:
        rig.record(f"DRAIN {request_id} reached i-1 {after_s:.3f} s after")
    cut_off = [one for one, _ in reached if one not in leaving.ended]
    rig.record(f"outcomes {dict(outcomes)}; cut off at its end: {cut_off}")
    return bool(reached)


rigging.main(case, FOLDER)
