"""Where a request would be sent, and why, as explained to operators."""

import typing

from bronzepaddle import ids, route_table, status
from bronzepaddle_node import peer_table
from bronzepaddle_node.requests import relative_costs, route_explanation
from bronzepaddle_operators import route_command
from bronzepaddle_peers import statuses
from support import sample_status

SHOP: typing.Final = ids.ServiceName("shop")
KEYED: typing.Final = ids.ServiceName("keyed")


def route(name: str, service: ids.ServiceName) -> route_table.Route:
    return route_table.Route(
        name,
        "h",
        f"/{name}/",
        route_table.RouteKind.IDEMPOTENT,
        0,
        5.0,
        1.0,
        3,
        (route_table.WeightedService(service, 1.0),),
    )


TABLE: typing.Final = route_table.Table(
    ids.BundleVersion(1),
    (route("shop", SHOP), route("keyed", KEYED)),
    {
        SHOP: route_table.ServiceRules(SHOP, False, 100, "/health"),
        KEYED: route_table.ServiceRules(KEYED, True, 100, "/health"),
    },
    route_table.Limits(),
)


def explain(
    target: str, key: int = -1, table: route_table.Table | None = TABLE
) -> status.RouteExplanation:
    """Explain a request to a process that knows three servers."""
    peers = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    for name, outstanding, backlog_s in (("full", 6, 0.9), ("free", 0, 0.0)):
        peers.update(
            sample_status.status(
                sender=ids.MemberId(name),
                outstanding=outstanding,
                backlog_s=backlog_s,
            ),
            0.0,
        )
    held = (statuses.HeldRange(0, 99, ids.Token(7)),)
    peers.update(
        sample_status.status(
            sender=ids.MemberId("owner"), service=KEYED, held=held
        ),
        0.0,
    )
    return route_explanation.explain(
        status.RouteQuestion("GET", "h", target, key, 0),
        route_explanation.Known(
            table, peers, relative_costs.RelativeCosts(), SHOP, 0.5
        ),
    )


def test_servers_are_listed_in_the_order_of_preference() -> None:
    explanation = explain("/shop/a?b=1")
    assert (explanation.route, explanation.service) == ("shop", SHOP)
    members = [candidate.member for candidate in explanation.candidates]
    assert members == ["free", "full"]
    text = list(route_command.lines(explanation))
    assert "lowest expected latency" in text[0]
    assert "starts in 0.900 s" in text[2]
    assert "heard 0.5 s ago" in text[2]


def test_owner_of_a_key_is_explained_by_its_token() -> None:
    explanation = explain("/keyed/a", key=42)
    members = [candidate.member for candidate in explanation.candidates]
    assert members == ["owner"]
    assert "token 7" in explanation.reason


def test_reasons_for_no_server() -> None:
    assert "no route" in explain("/other/a").reason
    assert "needs a key" in explain("/keyed/a").reason
    assert "holds key 500" in explain("/keyed/a", key=500).reason
    assert "no configuration" in explain("/shop/a", table=None).reason
