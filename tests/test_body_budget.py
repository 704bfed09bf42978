"""Tests of the budget for bodies, and of the memory that it admits.

The crowd is that of ``integration/test_crowds.py``, without a network.  Its
baseline is a process that reads each body as it comes.
"""

import gc
import typing

import pytest
from bronzepaddle import bounded_http, held_body, route_table
from bronzepaddle.load import body_budget

CROWD: typing.Final = 24
BODY_BYTES: typing.Final = 24 * body_budget.MIB
VM_BYTES: typing.Final = body_budget.DEFAULT_MEMORY_MB * body_budget.MIB


def granted(reservation: body_budget.Reservation, size: int) -> bool:
    """Reserve bytes; return whether there was room."""
    return isinstance(reservation.grow(size), body_budget.Granted)


@pytest.mark.parametrize("step_bytes", [BODY_BYTES, 64 * 1024])
def test_crowd_of_bodies_never_exceeds_the_budget(step_bytes: int) -> None:
    """Bodies with a length reserve it at once, chunked ones step by step."""
    budget = body_budget.BodyBudget()
    admitted = [budget.open(body_budget.RESPONSE_SHARE) for _ in range(CROWD)]
    for _ in range(BODY_BYTES // step_bytes):
        admitted = [body for body in admitted if granted(body, step_bytes)]
        assert budget.held_bytes <= budget.limit_bytes
    baseline_bytes = CROWD * BODY_BYTES
    assert baseline_bytes > VM_BYTES
    assert budget.held_bytes + body_budget.PROCESS_BYTES <= VM_BYTES
    assert budget.refusals > 0


def test_some_bodies_with_a_length_are_admitted_by_their_crowd() -> None:
    budget = body_budget.BodyBudget()
    admitted = [
        granted(budget.open(body_budget.RESPONSE_SHARE), BODY_BYTES)
        for _ in range(CROWD)
    ].count(True)
    assert admitted == int(budget.limit_bytes * 0.9) // BODY_BYTES


def test_largest_body_and_its_largest_response_fit_on_the_smallest_vm() -> (
    None
):
    budget = body_budget.BodyBudget()
    assert granted(
        budget.open(body_budget.REQUEST_SHARE),
        route_table.Limits().max_body_bytes,
    )
    assert granted(
        budget.open(body_budget.RESPONSE_SHARE), bounded_http.MAX_BODY_BYTES
    )


def test_small_bodies_have_room_while_large_ones_are_refused() -> None:
    budget = body_budget.BodyBudget()
    while granted(budget.open(body_budget.RESPONSE_SHARE), body_budget.MIB):
        pass
    assert all(
        granted(
            budget.open(body_budget.RESPONSE_SHARE), body_budget.SMALL_BYTES
        )
        for _ in range(100)
    )
    assert not granted(
        budget.open(body_budget.RESPONSE_SHARE), body_budget.MIB
    )


def test_shortage_is_reported() -> None:
    """Those who hold room without progress can then be closed."""
    budget = body_budget.BodyBudget()
    stalled = budget.open(body_budget.RESPONSE_SHARE)
    budget.on_shortage = stalled.release
    assert granted(stalled, 60 * body_budget.MIB)
    assert not granted(
        budget.open(body_budget.RESPONSE_SHARE), 60 * body_budget.MIB
    )
    assert granted(
        budget.open(body_budget.RESPONSE_SHARE), 60 * body_budget.MIB
    )


def test_released_bytes_are_given_back_once() -> None:
    budget = body_budget.BodyBudget()
    with budget.open(body_budget.RESPONSE_SHARE) as reservation:
        assert granted(reservation, 5000)
        reservation.release()
    assert budget.held_bytes == 0


def test_budget_may_be_released_while_it_is_used() -> None:
    """The garbage collector releases bodies at any point of a thread.

    Guards against a thread that waits for its own lock, and with it the whole
    process.
    """
    budget = body_budget.BodyBudget()
    with budget.open(body_budget.RESPONSE_SHARE) as other, budget.lock:
        assert granted(other, 1000)
        other.release()
    assert budget.held_bytes == 0


def test_requests_leave_room_for_their_responses() -> None:
    budget = body_budget.BodyBudget()
    while granted(budget.open(body_budget.REQUEST_SHARE), body_budget.MIB):
        pass
    assert granted(
        budget.open(body_budget.RESPONSE_SHARE), bounded_http.MAX_BODY_BYTES
    )


def test_waiting_for_room_counts_no_refusals() -> None:
    budget = body_budget.BodyBudget(0)
    body = held_body.HeldBody(
        budget, body_budget.MIB, body_budget.RESPONSE_SHARE
    )
    assert not body.has_room(body_budget.MIB)
    assert budget.refusals == 0


def test_body_that_can_not_be_mapped_is_refused() -> None:
    budget = body_budget.BodyBudget()
    body = held_body.HeldBody(budget, 2**62, body_budget.RESPONSE_SHARE)
    with pytest.raises(held_body.NoRoomError):
        body.reserve(100)
    assert budget.held_bytes == 0


def test_memory_is_reserved_as_long_as_there_is_a_view_of_it() -> None:
    """A view may outlive its request, for instance in a sending thread."""
    budget = body_budget.BodyBudget()
    body = held_body.HeldBody(
        budget, 2 * body_budget.MIB, body_budget.RESPONSE_SHARE
    )
    body.append(bytes(body_budget.MIB))
    view = body.received()[:10]
    del body
    gc.collect()
    assert budget.held_bytes == body_budget.MIB
    del view
    gc.collect()
    assert budget.held_bytes == 0


def test_body_without_room_is_not_received() -> None:
    budget = body_budget.BodyBudget()
    body = held_body.HeldBody(
        budget, budget.limit_bytes, body_budget.RESPONSE_SHARE
    )
    with pytest.raises(held_body.NoRoomError):
        body.reserve(budget.limit_bytes)
    assert budget.held_bytes == 0


def test_vm_with_little_memory_has_the_least_budget() -> None:
    assert body_budget.budget_bytes(1) == body_budget.MIN_BUDGET_BYTES
    assert body_budget.budget_bytes(300) == 200 * body_budget.MIB
