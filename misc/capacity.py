"""Generates docs/CAPACITY.md from the benchmark results, or checks it.

The template ``docs/CAPACITY.in.md`` contains fields such as ``{name}`` or
``{name:.1f}``, which are replaced by figures computed from ``bench/results``.
With ``--check`` nothing is written; the check fails unless the page in the
repository equals the generated one.

A node is a router process with its backend server.  Nodes form cells, whose
members exchange heartbeats.  The keys are divided into hash slots; a cell
object in the store of the platform records the members of each cell and the
owners of its slots.

The figures are named after their measurements.  ``beat`` is the sending of a
round of heartbeats, one to each peer.  ``path`` is the way of a request: to
the owner's backend server (``direct``), to the owner (``local``) or to another
node, the entry, which forwards it (``forwarded``).  ``unavailable`` is the
time that a key is unavailable, by kind of event such as ``loss``.
"""

import json
import pathlib
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
TEMPLATE: typing.Final = ROOT / "docs" / "CAPACITY.in.md"
PAGE: typing.Final = ROOT / "docs" / "CAPACITY.md"
RESULTS: typing.Final = ROOT / "bench" / "results"

# The load and the size of the system for which the page gives figures.
NODES: typing.Final = 17_000
KEYS: typing.Final = 16e9
REQUESTS_PER_S: typing.Final = 240e6
ZONES: typing.Final = 23
NODES_REPLACED_PER_DAY: typing.Final = 6_000
NODES_LOST_PER_DAY: typing.Final = 85
CHANGES_PER_DAY: typing.Final = 49_000
SECONDS_PER_DAY: typing.Final = 86_400

CELL_MEMBERS: typing.Final = 12
HEARTBEATS_PER_S: typing.Final = 2.0
UDP_IP_BYTES: typing.Final = 28
"""The UDP and IPv4 headers of a datagram."""

SLOTS_PER_NODE: typing.Final = 64
STORE_WRITES_PER_S: typing.Final = 300
LEASE_WAIT_S: typing.Final = 2.76
"""Wait until the lease of a lost member has certainly expired.

``quorum_leases.LeaseTimes.wait_s`` with the default settings.
"""

SUSPICION_TIMEOUT_S: typing.Final = 1.5
"""Silence of a member after which it is suspected to have failed."""

WATCH_TIMEOUT_S: typing.Final = 20.0
"""Time after which a call that watches the store is repeated."""


def figures() -> dict[str, float]:
    """Return all figures by the names that the template uses."""
    results = json.loads((RESULTS / "slopes.json").read_text())
    path_results = json.loads((RESULTS / "path.json").read_text())
    measured = _line_figures(results["slopes"])
    measured |= {
        f"path_{way.replace('-', '_')}_{name}": value
        for way, values in path_results.items()
        for name, value in values.items()
    }
    unavailable_results = json.loads(
        (RESULTS / "unavailable.json").read_text()
    )
    measured |= {
        f"unavailable_{kind}_{name}": value
        for kind, values in unavailable_results.items()
        for name, value in values.items()
    }
    for row in results["store"]:
        members = row.pop("members")
        measured |= {
            f"store{members}_{name}": value for name, value in row.items()
        }
    for row in results["idle"]:
        members = row.pop("members")
        measured |= {
            f"idle{members}_{name}": value for name, value in row.items()
        }
    return measured | _system_figures(measured)


def _line_figures(lines: dict[str, typing.Any]) -> dict[str, float]:
    """Return base, slope and residual of each fitted line."""
    measured = {}
    for name, line in lines.items():
        measured[f"{name}_base"] = line["base"]
        measured[f"{name}_slope"] = line["per_unit"]
        measured[f"{name}_residual"] = line["residual"]
    return measured


def _system_figures(measured: dict[str, float]) -> dict[str, float]:
    """Return the figures of the whole system, from measured figures."""
    peers = CELL_MEMBERS - 1
    send_us = measured["beat_base"] + measured["beat_slope"] * CELL_MEMBERS
    receive_us = (
        measured["receive_base"] + measured["receive_slope"] * CELL_MEMBERS
    )
    send_share = send_us * HEARTBEATS_PER_S / 1e6
    receive_share = receive_us * peers * HEARTBEATS_PER_S / 1e6
    datagram_bytes = measured["datagram_base"] + UDP_IP_BYTES
    cells = NODES / CELL_MEMBERS
    zone_nodes = NODES / ZONES
    # The expected number of cells that have a member in a lost zone.
    affected_cells = cells * (1 - (1 - 1 / ZONES) ** CELL_MEMBERS)
    slots = NODES * SLOTS_PER_NODE
    all_slots_mb = (
        measured["slot_memory_base"] + measured["slot_memory_slope"] * slots
    ) / 1e6
    # One write of each affected cell.
    write_affected_s = affected_cells / STORE_WRITES_PER_S
    requests_per_node = REQUESTS_PER_S / NODES
    # CPU time per request, with 16 concurrent callers.
    local_ms = measured["path_local_16_cpu_owner_ms"]
    forwarded_ms = (
        measured["path_forwarded_16_cpu_owner_ms"]
        + measured["path_forwarded_16_cpu_entry_ms"]
    )
    replace_writes = (
        measured["store14_writes_join_each"] + measured["store14_writes_stop"]
    )
    return {
        "cell_members": CELL_MEMBERS,
        "cells": cells,
        "requests_per_node": requests_per_node,
        "keys_per_node": KEYS / NODES,
        "heartbeat_cpu_percent": (send_share + receive_share) * 100,
        "heartbeat_kb_per_s": datagram_bytes * peers * HEARTBEATS_PER_S / 1000,
        "heartbeat_messages": peers * HEARTBEATS_PER_S,
        "zone_nodes": zone_nodes,
        "zone_cells_hit": affected_cells,
        "zone_writes_s": write_affected_s,
        "zone_unavailable_s": max(
            LEASE_WAIT_S, SUSPICION_TIMEOUT_S + write_affected_s
        )
        + write_affected_s,
        "memory_mb": measured["idle15_rss_mb"] + all_slots_mb,
        "watches": cells,
        "watch_calls_per_s": cells / WATCH_TIMEOUT_S,
        "replace_writes_per_s": NODES_REPLACED_PER_DAY
        * replace_writes
        / SECONDS_PER_DAY,
        "fail_writes_per_s": NODES_LOST_PER_DAY
        * measured["store14_writes_loss"]
        / SECONDS_PER_DAY,
        "changes_per_s": CHANGES_PER_DAY / SECONDS_PER_DAY,
        "all_slots": slots,
        "all_slots_mb": all_slots_mb,
        "cell_slots": CELL_MEMBERS * SLOTS_PER_NODE,
        "cell_object_kb": (
            measured["cell_bytes_base"]
            + measured["cell_bytes_slope"] * CELL_MEMBERS * SLOTS_PER_NODE
        )
        / 1000,
        "cell_codec_ms": (
            measured["cell_codec_base"]
            + measured["cell_codec_slope"] * CELL_MEMBERS * SLOTS_PER_NODE
        )
        / 1000,
        "local_per_core_s": 1000 / local_ms,
        "forwarded_cpu_ms": forwarded_ms,
        "cores_local": requests_per_node * local_ms / 1000,
        "log_and_metric_us": measured["log_line_base"]
        + measured["metric_base"],
    }


def page() -> str:
    """Return the page generated from the template and the results."""
    return TEMPLATE.read_text(encoding="utf-8").format(**figures())


def main() -> int:
    """Write or check the page; return the exit status."""
    generated = page()
    if "--check" not in sys.argv:
        PAGE.write_text(generated, encoding="utf-8")
        return 0
    if PAGE.read_text(encoding="utf-8") == generated:
        print("docs/CAPACITY.md is up to date")
        return 0
    print(
        "docs/CAPACITY.md is out of date: run misc/capacity.py",
        file=sys.stderr,
    )
    return 1


if __name__ == "__main__":
    sys.exit(main())
