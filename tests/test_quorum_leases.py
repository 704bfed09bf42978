"""Tests of which acknowledgements extend a lease, and from when."""

from bronzepaddle import cells, ids, quorum_leases

NAMES = [ids.MemberId(name) for name in ("a", "b", "c")]
TIMES = quorum_leases.LeaseTimes()


def _cell() -> cells.Cell:
    members = {
        name: cells.Member(
            cells.Address(name, 1),
            ids.ZoneName("zone"),
            ids.Incarnation(f"{name}-1"),
            cells.MemberState.ACTIVE,
        )
        for name in NAMES
    }
    return cells.Cell(
        ids.CellId("cell"),
        ids.Term(1),
        NAMES[0],
        ids.MembershipVersion(3),
        members,
    )


def _lease(first_sequence: int) -> quorum_leases.OwnerLease:
    lease = quorum_leases.OwnerLease(TIMES, first_sequence)
    lease.apply_cell(_cell(), NAMES[0])
    return lease


def test_lease_starts_when_the_heartbeat_was_sent() -> None:
    lease = _lease(70)
    sequence = lease.next_heartbeat(10.0)
    lease.record_ack(NAMES[1], sequence, ids.MembershipVersion(3), _cell())
    assert lease.valid_until == 10.0 + TIMES.lease_s


def test_ack_for_an_earlier_run_does_not_extend_the_lease() -> None:
    earlier, later = _lease(70), _lease(1 << 30)
    sequence = earlier.next_heartbeat(10.0)
    later.next_heartbeat(12.0)
    later.record_ack(NAMES[1], sequence, ids.MembershipVersion(3), _cell())
    assert not later.holds(12.0)


def test_ack_of_another_membership_or_a_non_member_is_ignored() -> None:
    lease = _lease(70)
    sequence = lease.next_heartbeat(10.0)
    lease.record_ack(NAMES[1], sequence, ids.MembershipVersion(2), _cell())
    non_member = ids.MemberId("stranger")
    lease.record_ack(non_member, sequence, ids.MembershipVersion(3), _cell())
    assert not lease.holds(10.0)


def test_ended_lease_is_not_extended_by_earlier_heartbeats() -> None:
    lease = _lease(70)
    sequence = lease.next_heartbeat(10.0)
    lease.end()
    lease.record_ack(NAMES[1], sequence, ids.MembershipVersion(3), _cell())
    assert not lease.holds(10.0)
