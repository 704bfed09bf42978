"""Tests of the table of all processes."""

import typing

from bronzepaddle import ids
from bronzepaddle_node import peer_table
from support import sample_status

OWN_NAME: typing.Final = ids.MemberId("a")


def test_count_leaves_out_silent_peers() -> None:
    """Guards against a fleet size that counts peers out of reach."""
    table = peer_table.PeerTable(OWN_NAME, ids.ZoneName("zone"))
    assert table.alive_count(0.0) == 1
    for name in (OWN_NAME, ids.MemberId("b"), ids.MemberId("c")):
        table.update(sample_status.status(sender=name), 0.0)
    assert table.alive_count(0.0) == 3
    table.update(
        sample_status.status(sender=ids.MemberId("b"), sequence=2), 60.0
    )
    assert table.alive_count(60.0) == 2
    assert table.alive_count(600.0) == 1
