"""Routing of requests by hash slot.

``match_request`` determines the service, the key and the hash slot of a
request from the configuration bundle.  ``choose_member`` determines the member
that serves it from the cell object, which records the owner of each hash slot.
"""

import dataclasses
import random
import typing
import urllib.parse

import xxhash

from bronzepaddle import bundles, cells, ids, verdicts


@dataclasses.dataclass(frozen=True)
class RequestMatch:
    """The service, key and hash slot of a request.

    ``uses_former_prefix`` is set if its path has a former prefix of the
    service.
    """

    service: bundles.Service
    key: str
    slot: ids.SlotId
    uses_former_prefix: bool


@dataclasses.dataclass(frozen=True)
class NoMatch:
    """No service matches, or the key of a keyed service is missing."""

    reason: verdicts.Reason
    detail: str


@dataclasses.dataclass(frozen=True)
class RoutingInput:
    """The parts of a request that routing depends on."""

    host: str
    path: str
    query: str
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Choice:
    """The member that a request is sent to, if any, and the reason."""

    member: ids.MemberId | None
    reason: verdicts.Reason
    token: ids.Token | None = None


def slot_of(key: str, slots: int) -> ids.SlotId:
    """Return the hash slot of a key among ``slots``."""
    return ids.SlotId(xxhash.xxh3_64_intdigest(key.encode()) % slots)


def match_request(
    bundle: bundles.Bundle, routing_input: RoutingInput
) -> RequestMatch | NoMatch:
    """Match a request to the service with the longest path prefix."""
    host = routing_input.host.partition(":")[0].lower()
    best_match: tuple[int, bundles.Service, str, bool] | None = None
    for service in bundle.services.values():
        if service.host and service.host != host:
            continue
        for prefix in (service.prefix, *service.former_prefixes):
            longer = best_match is None or len(prefix) > best_match[0]
            if longer and _has_prefix(prefix, routing_input.path):
                uses_former_prefix = prefix != service.prefix
                best_match = (len(prefix), service, prefix, uses_former_prefix)
    if best_match is None:
        return NoMatch(
            verdicts.Reason.UNKNOWN_NAME, f"no service at {routing_input.path}"
        )
    _, service, prefix, uses_former_prefix = best_match
    if not service.keyed:
        return RequestMatch(service, "", ids.SlotId(0), uses_former_prefix)
    key = _key(service.key_rule, routing_input, prefix)
    if not key:
        return NoMatch(
            verdicts.Reason.NO_KEY,
            f"service {service.name} needs a key in the "
            f"{service.key_rule.source.value} ({service.key_rule.parameter})",
        )
    return RequestMatch(
        service, key, slot_of(key, service.slots), uses_former_prefix
    )


def choose_member(
    cell: cells.Cell,
    matched: RequestMatch,
    outstanding: typing.Callable[[ids.MemberId], float],
    rng: random.Random,
) -> Choice:
    """Return the member that a request is sent to.

    A keyed request goes to the owner of its hash slot.  Any other request
    goes to the less loaded of two random members.
    """
    service = matched.service
    if service.keyed:
        return _choose_owner(cell, service.name, matched)
    members = cell.members_serving(service.name)
    if not members:
        return Choice(None, verdicts.Reason.NO_BACKEND)
    compared = rng.sample(members, k=min(2, len(members)))
    return Choice(min(compared, key=outstanding), verdicts.Reason.LEAST_LOADED)


def _choose_owner(
    cell: cells.Cell, service: ids.ServiceName, matched: RequestMatch
) -> Choice:
    grant = cell.grant(service, matched.slot)
    if grant is None:
        return Choice(None, verdicts.Reason.NO_OWNER)
    return Choice(grant.owner, verdicts.Reason.OWNER_REMOTE, grant.token)


def _has_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")


def _key(
    rule: bundles.KeyRule, routing_input: RoutingInput, prefix: str
) -> str:
    match rule.source:
        case bundles.KeySource.NONE:
            return ""
        case bundles.KeySource.PATH:
            segments = routing_input.path[len(prefix) :].lstrip("/").split("/")
            index = int(rule.parameter)
            if index >= len(segments):
                return ""
            return urllib.parse.unquote(segments[index])
        case bundles.KeySource.HEADER:
            return routing_input.headers.get(rule.parameter, "")
        case bundles.KeySource.QUERY:
            values = urllib.parse.parse_qs(routing_input.query).get(
                rule.parameter
            )
            return values[0] if values else ""
        case _:
            typing.assert_never(rule.source)
