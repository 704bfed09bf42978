"""A server's next life is granted keys under the token of the life before.

Servers that hold keys crash, one at a time, and are back at their addresses at
once, with new ids.  The first status report of each new life comes late.
"""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as rigging  # noqa: E402

CRASHES = 12
DOWN_S = 0.3
REPORT_LATE_S = 1.5
PAUSE_S = 4.0
"""Time from one crash to the next, besides a random part of a second."""

KEYED_PER_S = 2.0


class Life(rigging.AppServer):
    """One life of a server; ``taken`` lists the grants of all lives."""

    taken: list["tuple[Life, int, int, int, float]"] = []  # noqa: RUF012

    def grant(self, document: dict[str, int], at: float) -> rigging.Answer:
        """Carry out a grant, and note it if it was accepted."""
        answer = super().grant(document, at)
        if answer.status == 200:
            first, last = document["from"], document["target"]
            fence = document["fence"]
            Life.taken.append((self, first, last, fence, at))
        return answer


async def report(lives: dict[str, Life], silent: set[str], node: rigging.Node):
    """Send the reports of the server beside a process."""
    while True:
        if node.name not in silent:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await lives[node.name].report(node.control)
        await asyncio.sleep(rigging.HEARTBEAT_S)


async def send_keyed(nodes: list[rigging.Node]) -> None:
    """Send light keyed traffic."""
    number = 0
    while True:
        number += 1
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await rigging.exchange(
                nodes[number % len(nodes)].callers,
                "GET",
                "/keyed/x",
                {
                    "Request-Id": f"k{number}",
                    "Deadline-Ms": "2000",
                    "Shard-Key": str(number * 7919 % rigging.KEY_COUNT),
                },
            )
        await asyncio.sleep(1 / KEYED_PER_S)


async def restart(
    rig: rigging.Rig, lives: dict[str, Life], silent: set[str], name: str
) -> None:
    """Let a server crash and come back at the same address."""
    old = lives[name]
    silent.add(name)
    old.crash()
    rig.record(f"{old.server_id} crashes")
    await asyncio.sleep(DOWN_S)
    count = int(old.server_id.rpartition("-")[2]) + 1
    new = Life(f"i-{name}-{count}", "shop")
    await new.start(old.address)
    lives[name] = new
    rig.record(f"{new.server_id} is up; its first report comes late")
    await asyncio.sleep(REPORT_LATE_S)
    silent.discard(name)


def stale_grants(rig: rigging.Rig) -> int:
    """Return the number of grants whose token others had had before."""
    count = 0
    for index, (life, first, last, fence, at) in enumerate(Life.taken):
        before = [
            grant
            for grant in Life.taken[:index]
            if grant[1] <= last and first <= grant[2]
        ]
        others = [grant[3] for grant in before if grant[0] is not life]
        renewed = any(
            grant[0] is life and grant[3] == fence for grant in before
        )
        if others and fence <= max(others) and not renewed:
            count += 1
            at_s = at - rig.record.started_at
            rig.record(
                f"{at_s:.3f}: {life.server_id} took {first}-{last} with "
                f"{fence}; others had had up to {max(others)}"
            )
    return count


async def case(rig: rigging.Rig) -> bool:
    """Return whether a server took keys with a token that isn't higher."""
    routes = [rigging.route("/keyed/", "shop")]
    await rig.store.put(
        "config", "main", rigging.desired_state(1, routes, ("shop",))
    )
    lives: dict[str, Life] = {}
    silent: set[str] = set()
    nodes = []
    for name in ("n1", "n2", "n3"):
        lives[name] = Life(f"i-{name}-1", "shop")
        nodes.append(await rig.add(name, lives[name]))
    for node in nodes:
        rig.background(report(lives, silent, node))
    for node in nodes:
        await rig.wait_served(node, "/keyed/w", {"Shard-Key": "77"})
    rig.background(send_keyed(nodes))
    await asyncio.sleep(4)
    phases = random.Random(7)
    for turn in range(CRASHES):
        await asyncio.sleep(PAUSE_S + phases.random())
        if rigging.trouble():
            await restart(rig, lives, silent, nodes[turn % 3].name)
        else:
            await asyncio.sleep(DOWN_S + REPORT_LATE_S)
    await asyncio.sleep(2)
    started_at = time.monotonic()
    count = stale_grants(rig)
    rig.record(f"{len(Life.taken)} grants taken, {count} with a stale token")
    rig.record(f"judged in {time.monotonic() - started_at:.1f} s")
    return count > 0


rigging.main(case, FOLDER)
