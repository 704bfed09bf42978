"""A sample status for tests, and copies of it with other values."""

import typing

import msgspec
from bronzepaddle import cells, ids
from bronzepaddle_peers import statuses

PLAIN: typing.Final = statuses.Status(
    sender=ids.MemberId("b"),
    incarnation=ids.Incarnation("1"),
    started_ms=1,
    sequence=1,
    address=cells.Address("127.0.0.1", 1),
    zone=ids.ZoneName("zone"),
    leaving=False,
    service=ids.ServiceName("shop"),
    run="s@1",
    state=statuses.ServerState.READY,
    slots=3,
    outstanding=0,
    service_s=0.1,
    warmup_left_s=0.0,
    table_version=ids.BundleVersion(1),
    ownership_version=ids.NO_VERSION,
    held=(),
)


def status(**changes: object) -> statuses.Status:
    """Return a copy of the sample status with some fields changed."""
    return msgspec.structs.replace(PLAIN, **changes)
