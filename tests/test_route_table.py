"""Tests of route matching and of traffic splitting by weight."""

import collections

import pytest
from bronzepaddle import ids, route_table


def route(
    name: str, prefix: str, *shares: tuple[str, float]
) -> route_table.Route:
    return route_table.Route(
        name=name,
        host="one.example",
        prefix=prefix,
        kind=route_table.RouteKind.IDEMPOTENT,
        rank=0,
        timeout_s=1.0,
        target_s=0.1,
        max_attempts=2,
        weighted_services=tuple(
            route_table.WeightedService(ids.ServiceName(service), weight)
            for service, weight in shares
        ),
    )


def table(*entries: route_table.Route) -> route_table.Table:
    return route_table.Table(
        ids.BundleVersion(1), entries, {}, route_table.Limits()
    )


TABLE = table(
    route("all", "/", ("x", 1)),
    route("deep", "/a/b/", ("x", 1)),
    route("high", "/a/", ("x", 1)),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("one.example", "/a/b/c", "deep"),
        ("one.example", "/a/b", "high"),
        ("ONE.example:80", "/a/", "high"),
        ("one.example", "/ab/c", "all"),
        ("one.example", "/", "all"),
        ("two.example", "/a/b/c", None),
        ("one.example", "", None),
    ],
)
def test_route_with_the_longest_prefix_is_found(
    host: str, path: str, name: str | None
) -> None:
    matched = route_table.find_route(TABLE, host, path)
    assert (matched and matched.name) == name


@pytest.mark.parametrize("weights", [(90, 10), (1, 1), (5, 2), (1, 0)])
def test_shares_follow_the_weights(weights: tuple[int, int]) -> None:
    split_route = route("split", "/", ("x", weights[0]), ("y", weights[1]))
    splitter = route_table.TrafficSplitter()
    picked = collections.Counter(
        splitter.pick(table(split_route), split_route) for _ in range(100)
    )
    expected = 100 * weights[0] / sum(weights)
    assert abs(picked[ids.ServiceName("x")] - expected) <= 1


def test_no_service_is_picked_if_all_weights_are_zero() -> None:
    split_route = route("split", "/", ("x", 0), ("y", 0))
    assert (
        route_table.TrafficSplitter().pick(table(split_route), split_route)
        is None
    )
