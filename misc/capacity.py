"""Makes docs/CAPACITY.md from the measured results, or checks it.

``docs/CAPACITY.in.md`` holds the text with ``{name}`` or ``{name:.1f}`` where
a figure goes; the figures are worked out here from ``bench/results``.  With
``--check`` the page in the repository must be exactly what comes out.
"""

import json
import pathlib
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
TEMPLATE: typing.Final = ROOT / "docs" / "CAPACITY.in.md"
PAGE: typing.Final = ROOT / "docs" / "CAPACITY.md"
RESULTS: typing.Final = ROOT / "bench" / "results"

NODES: typing.Final = 17_000
KEYS: typing.Final = 16e9
REQUESTS_PER_S: typing.Final = 240e6
ZONES: typing.Final = 23
REPLACED_PER_DAY: typing.Final = 6_000
FAILED_PER_DAY: typing.Final = 85
CHANGES_PER_DAY: typing.Final = 49_000
SECONDS_PER_DAY: typing.Final = 86_400
CELL_MEMBERS: typing.Final = 12
HEARTBEATS_PER_S: typing.Final = 2.0
UDP_IP_BYTES: typing.Final = 28
SLOTS_PER_NODE: typing.Final = 64
STORE_WRITES_PER_S: typing.Final = 300
LEASE_WAIT_S: typing.Final = 2.76
SILENT_S: typing.Final = 1.5
WATCH_S: typing.Final = 20.0


def figures() -> dict[str, float]:
    """Return every figure that the page may quote."""
    results = json.loads((RESULTS / "slopes.json").read_text())
    path = json.loads((RESULTS / "path.json").read_text())
    found = _slopes(results["slopes"])
    found |= {
        f"path_{way.replace('-', '_')}_{name}": value
        for way, values in path.items()
        for name, value in values.items()
    }
    unavailable = json.loads((RESULTS / "unavailable.json").read_text())
    found |= {
        f"unavailable_{kind}_{name}": value
        for kind, values in unavailable.items()
        for name, value in values.items()
    }
    for row in results["store"]:
        size = row.pop("members")
        found |= {f"store{size}_{name}": value for name, value in row.items()}
    for row in results["idle"]:
        size = row.pop("members")
        found |= {f"idle{size}_{name}": value for name, value in row.items()}
    return found | _at_target(found)


def _slopes(slopes: dict[str, typing.Any]) -> dict[str, float]:
    found = {}
    for name, slope in slopes.items():
        found[f"{name}_base"] = slope["base"]
        found[f"{name}_slope"] = slope["per_unit"]
        found[f"{name}_residual"] = slope["residual"]
    return found


def _at_target(found: dict[str, float]) -> dict[str, float]:
    """Work the target's figures out from slopes."""
    peers = CELL_MEMBERS - 1
    beat_us = found["beat_base"] + found["beat_slope"] * CELL_MEMBERS
    receive_us = found["receive_base"] + found["receive_slope"] * CELL_MEMBERS
    send_share = beat_us * HEARTBEATS_PER_S / 1e6
    receive_share = receive_us * peers * HEARTBEATS_PER_S / 1e6
    datagram = found["datagram_base"] + UDP_IP_BYTES
    cells = NODES / CELL_MEMBERS
    zone_nodes = NODES / ZONES
    cells_hit = cells * (1 - (1 - 1 / ZONES) ** CELL_MEMBERS)
    slots = NODES * SLOTS_PER_NODE
    all_slots_mb = (
        found["slot_memory_base"] + found["slot_memory_slope"] * slots
    ) / 1e6
    round_s = cells_hit / STORE_WRITES_PER_S
    per_node = REQUESTS_PER_S / NODES
    local_ms = found["path_local_16_cpu_owner_ms"]
    forwarded_ms = (
        found["path_forwarded_16_cpu_owner_ms"]
        + found["path_forwarded_16_cpu_entry_ms"]
    )
    writes_each = (
        found["store14_writes_join_each"] + found["store14_writes_stop"]
    )
    return {
        "cell_members": CELL_MEMBERS,
        "cells": cells,
        "requests_per_node": per_node,
        "keys_per_node": KEYS / NODES,
        "heartbeat_cpu_percent": (send_share + receive_share) * 100,
        "heartbeat_kb_per_s": datagram * peers * HEARTBEATS_PER_S / 1000,
        "heartbeat_messages": peers * HEARTBEATS_PER_S,
        "zone_nodes": zone_nodes,
        "zone_cells_hit": cells_hit,
        "zone_writes_s": round_s,
        "zone_unavailable_s": max(LEASE_WAIT_S, SILENT_S + round_s) + round_s,
        "memory_mb": found["idle15_rss_mb"] + all_slots_mb,
        "watches": cells,
        "watch_calls_per_s": cells / WATCH_S,
        "replace_writes_per_s": REPLACED_PER_DAY
        * writes_each
        / SECONDS_PER_DAY,
        "fail_writes_per_s": FAILED_PER_DAY
        * found["store14_writes_loss"]
        / SECONDS_PER_DAY,
        "changes_per_s": CHANGES_PER_DAY / SECONDS_PER_DAY,
        "all_slots": slots,
        "all_slots_mb": all_slots_mb,
        "cell_slots": CELL_MEMBERS * SLOTS_PER_NODE,
        "cell_object_kb": (
            found["cell_bytes_base"]
            + found["cell_bytes_slope"] * CELL_MEMBERS * SLOTS_PER_NODE
        )
        / 1000,
        "cell_codec_ms": (
            found["cell_codec_base"]
            + found["cell_codec_slope"] * CELL_MEMBERS * SLOTS_PER_NODE
        )
        / 1000,
        "local_per_core_s": 1000 / local_ms,
        "forwarded_cpu_ms": forwarded_ms,
        "cores_local": per_node * local_ms / 1000,
        "log_and_metric_us": found["log_line_base"] + found["metric_base"],
    }


def page() -> str:
    """Return the page as the results make it."""
    return TEMPLATE.read_text(encoding="utf-8").format(**figures())


def main() -> int:
    """Write the page, or check it; return the exit status."""
    wanted = page()
    if "--check" not in sys.argv:
        PAGE.write_text(wanted, encoding="utf-8")
        return 0
    if PAGE.read_text(encoding="utf-8") == wanted:
        print("docs/CAPACITY.md follows from the results")
        return 0
    print("docs/CAPACITY.md is stale: run misc/capacity.py", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
