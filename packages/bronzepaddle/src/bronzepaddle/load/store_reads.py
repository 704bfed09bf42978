"""Which members of a service read its ownership object, and when.

The load that this answers: each member needs a recent read of the object for
its lease, so that the calls to the store grow with the members.  A read by one
member can renew the leases of all others.  Therefore a few members, the
readers, read periodically; any other one reads only if the renewals that it
gets by way of them fail to come, or for a version that has been in force for
some time.  The module only decides;
``ownership_view`` reads.
"""

import collections.abc
import dataclasses
import enum
import typing

import xxhash

from bronzepaddle import ids, store_leases

DEFAULT_READERS: typing.Final = 3
"""Number of members that read for all others."""

ALL_READ_FACTOR: typing.Final = 2
"""In a service of up to this multiple of the readers, all members read: a
reader may be lost, and few members cost few calls."""

MAX_LEASE_AGE_SHARE: typing.Final = 0.5
"""Share of its lease time after which a member reads for itself, unless its
lease was renewed meanwhile."""


MAX_OUTDATED_S: typing.Final = 2.0
"""Time after which a member reads a newer version that doesn't concern its
keys, as others report.  While each second brings a version, one read in this
time is enough."""


class ReadReason(enum.Enum):
    """Why a member reads the object now, or that it does not."""

    NOT_DUE = "not-due"
    READER = "reader"
    LEASE_NOT_RENEWED = "lease-not-renewed"
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True)
class ReadState:
    """What a member knows; times in seconds.

    ``is_reader`` is set if it should read periodically.  ``since_read_s`` is
    the time since its last read, ``lease_age_s`` the time since the moment
    from which its lease counts, ``outdated_s`` the time for which it has known
    of a newer version, negative if of none.
    """

    is_reader: bool
    since_read_s: float
    lease_age_s: float
    outdated_s: float


def decide(
    state: ReadState, times: store_leases.StoreLeaseTimes
) -> ReadReason:
    """Return whether a member reads the object now, and why."""
    if state.since_read_s < times.read_interval_s:
        return ReadReason.NOT_DUE
    if state.is_reader:
        return ReadReason.READER
    if state.lease_age_s >= MAX_LEASE_AGE_SHARE * times.lease_s:
        return ReadReason.LEASE_NOT_RENEWED
    if state.outdated_s >= MAX_OUTDATED_S:
        return ReadReason.OUTDATED
    return ReadReason.NOT_DUE


def readers(
    members: collections.abc.Collection[ids.MemberId], count: int
) -> frozenset[ids.MemberId]:
    """Return the members that read periodically.

    They are the first by the hash of their names, so that all members that
    know the same ones agree.
    """
    if len(members) <= ALL_READ_FACTOR * count:
        return frozenset(members)
    return frozenset(sorted(members, key=_rank)[:count])


def _rank(member: ids.MemberId) -> int:
    return xxhash.xxh64_intdigest(member.encode())
