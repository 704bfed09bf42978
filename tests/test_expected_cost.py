"""Tests of the expected costs of requests, learned from finished ones."""

import random
import typing

import pytest
from bronzepaddle.load import expected_cost

KIND: typing.Final = "read"
DEAR: typing.Final = 10.0


def features(
    target: str = "/shop/1", body_bytes: int = 0, key: int = -1
) -> expected_cost.Features:
    return expected_cost.request_features("GET", target, body_bytes, key, "a")


CHEAP_AND_DEAR: typing.Final = {
    "path": (features("/shop/item/17"), features("/shop/report/17")),
    "query": (features("/shop/1?page=2"), features("/shop/1?export=2")),
    "body": (features(body_bytes=900), features(body_bytes=90_000)),
    "keys": (features(key=5), features(key=7000)),
}


def learn(
    model: expected_cost.CostModel,
    costs: dict[expected_cost.Features, float],
    requests: int = 300,
    start: float = 0.0,
) -> float:
    """Let a model learn from requests of random cost; return the end time."""
    rng = random.Random(1)
    now = start
    for _ in range(requests):
        now += 0.1
        requested = rng.choice(list(costs))
        ratio = costs[requested] * rng.lognormvariate(0.0, 0.5)
        model.record(KIND, requested, ratio, now)
    return now


@pytest.mark.parametrize("name", CHEAP_AND_DEAR)
def test_requests_that_look_alike_are_told_apart(name: str) -> None:
    """Costs that differ by ten are learned by the feature that tells them."""
    cheap, dear = CHEAP_AND_DEAR[name]
    model = expected_cost.CostModel()
    now = learn(model, {cheap: 0.2, dear: 0.2 * DEAR})
    ratio = model.factor(KIND, dear, now) / model.factor(KIND, cheap, now)
    assert DEAR / 2 < ratio < DEAR * 2


def test_features_that_tell_nothing_are_not_used() -> None:
    model = expected_cost.CostModel()
    costs = {features(f"/shop/{word}"): 1.0 for word in "abcdefgh"}
    now = learn(model, costs, 1000)
    factors = [model.factor(KIND, seen, now) for seen in costs]
    assert factors == [1.0] * len(costs)


def test_request_with_unknown_features_has_the_usual_cost() -> None:
    model = expected_cost.CostModel()
    cheap, dear = CHEAP_AND_DEAR["path"]
    now = learn(model, {cheap: 0.2, dear: 2.0})
    assert model.factor(KIND, features("/shop/other/1"), now) == 1.0
    assert model.factor("other kind", dear, now) == 1.0


def test_costs_that_change_are_learned_again() -> None:
    model = expected_cost.CostModel()
    one, other = CHEAP_AND_DEAR["path"]
    now = learn(model, {one: 0.2, other: 2.0})
    now = learn(model, {one: 2.0, other: 0.2}, start=now)
    assert model.factor(KIND, one, now) > 3 * model.factor(KIND, other, now)


def test_costs_that_are_not_seen_any_more_are_forgotten() -> None:
    model = expected_cost.CostModel()
    cheap, dear = CHEAP_AND_DEAR["path"]
    now = learn(model, {cheap: 0.2, dear: 2.0})
    later = now + 10 * expected_cost.AGE_S
    assert model.factor(KIND, dear, later) < 1.1


def test_memory_is_bounded() -> None:
    model = expected_cost.CostModel(max_values=20)
    for number in range(1000):
        target = f"/shop{number}/x"
        model.record(f"kind {number}", features(target), 1.0, number / 10)
    assert len(model.values) == 20
    assert len(model.kinds) == expected_cost.MAX_KINDS


def test_model_without_values_learns_nothing() -> None:
    model = expected_cost.CostModel(max_values=0)
    cheap, dear = CHEAP_AND_DEAR["path"]
    now = learn(model, {cheap: 0.2, dear: 2.0})
    assert model.factor(KIND, dear, now) == 1.0
    assert not model.kinds


def test_a_run_that_goes_on_long_is_one_of_the_dear_ones() -> None:
    """The rest of a run depends on how long it has taken already."""
    model = expected_cost.CostModel()
    rng = random.Random(1)
    for number in range(600):
        cost = 0.2 if number % 10 else 8.2
        ratio = cost * rng.lognormvariate(0.0, 0.2)
        model.record(KIND, (), ratio, float(number))
    fresh_s = model.remaining_s(KIND, 0.1, 0.0)
    assert 0.08 < fresh_s < 0.12
    assert model.remaining_s(KIND, 0.1, 0.1) > 4 * fresh_s


def test_targets_of_similar_requests_have_one_shape() -> None:
    shape = expected_cost.target_shape
    assert shape("GET", "/shop/item/17") == shape("GET", "/shop/item/942")
    assert shape("GET", "/shop/a7f3") == shape("GET", "/shop/0c9d")
    assert shape("GET", "/shop/1?a=1") == shape("GET", "/shop/2?a=9")
    assert shape("GET", "/shop/item/1") != shape("GET", "/shop/report/1")
    assert shape("GET", "/shop/1") != shape("POST", "/shop/1")
    long_target = "/x" * 10_000 + "?" + "y&" * 10_000
    assert len(shape("GET", long_target)) < 500


def test_shape_of_a_long_target_is_short() -> None:
    shape = expected_cost.target_shape("GET", "/" + "x" * 8000 + "/1?a=2")
    assert len(shape) < 200
