"""Explains where a request would be sent now, and why, without sending it.

``explain`` decides as the router does, but leaves out the random part: it
lists the servers in the order of the latency that is expected there.
"""

import dataclasses

from bronzepaddle import ids, route_table, status
from bronzepaddle.load import load_balancing
from bronzepaddle_callers import buffered_app

from bronzepaddle_node import peer_table
from bronzepaddle_node.requests import relative_costs


@dataclasses.dataclass(frozen=True)
class Known:
    """What a process knows when it routes a request."""

    table: route_table.Table | None
    peers: peer_table.PeerTable
    costs: relative_costs.RelativeCosts
    caller: ids.ServiceName
    now: float


def explain(
    question: status.RouteQuestion, known: Known
) -> status.RouteExplanation:
    """Return where a request would be sent now, and why."""
    table = known.table
    if table is None:
        return status.RouteExplanation("there is no configuration yet")
    path = question.target.partition("?")[0]
    route = route_table.find_route(table, question.host, path)
    if route is None:
        return status.RouteExplanation("no route has this host and path")
    if not route.weighted_services:
        return status.RouteExplanation(
            "the route leads to no service", route.name
        )
    weighted = max(route.weighted_services, key=lambda entry: entry.weight)
    service = weighted.service
    rules = table.services.get(service)
    keyed = rules is not None and rules.keyed
    cost = known.costs.expected(
        relative_costs.Request(
            service,
            route.name,
            question.method,
            question.target,
            question.body_bytes,
            question.key if keyed else buffered_app.NO_KEY,
            known.caller,
        ),
        known.now,
    )
    if keyed:
        reason, peers = _owner(question, service, known)
    else:
        reason, peers = _eligible(service, known)
    assumed_s = load_balancing.assumed_service_s(
        [known.peers.candidate(peer) for peer in peers]
    )
    candidates = sorted(
        (_describe(peer, cost.relative, assumed_s, known) for peer in peers),
        key=lambda candidate: candidate.latency_s,
    )
    if len(route.weighted_services) > 1:
        reason += "; the route is split, this is its largest service"
    return status.RouteExplanation(
        reason, route.name, service, cost.relative, tuple(candidates)
    )


def _owner(
    question: status.RouteQuestion, service: ids.ServiceName, known: Known
) -> tuple[str, list[peer_table.Peer]]:
    """Return the owner of the key, if any, and the reason."""
    if not 0 <= question.key < route_table.KEY_COUNT:
        return "the service needs a key", []
    owner = known.peers.owner_of(service, question.key, known.now)
    if owner is None:
        return f"no live process holds key {question.key}", []
    token = owner.token_for(question.key)
    return f"it holds key {question.key} with token {token}", [owner]


def _eligible(
    service: ids.ServiceName, known: Known
) -> tuple[str, list[peer_table.Peer]]:
    """Return the processes that may be chosen, and how one is."""
    peers = known.peers.eligible_peers(service, known.now)
    if not peers:
        return "no server of the service is ready", peers
    if len(peers) <= load_balancing.COMPARE_ALL_MAX:
        return "the lowest expected latency of all is chosen", peers
    return (
        f"the lowest expected latency of {load_balancing.SAMPLE_SIZE} drawn "
        "at random is chosen",
        peers,
    )


def _describe(
    peer: peer_table.Peer,
    relative_cost: float,
    assumed_s: float,
    known: Known,
) -> status.RouteCandidate:
    """Return the figures by which a process is chosen.

    ``assumed_s`` is assumed for the time of a request that is not measured.
    """
    candidate = known.peers.candidate(peer)
    return status.RouteCandidate(
        candidate.member,
        peer.status.zone,
        candidate.slots,
        candidate.outstanding,
        candidate.backlog_s,
        candidate.service_s,
        candidate.cold,
        known.now - peer.heard_at,
        load_balancing.expected_latency_s(candidate, assumed_s, relative_cost),
    )
