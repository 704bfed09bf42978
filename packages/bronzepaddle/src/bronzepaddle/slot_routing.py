"""Finds the service, the key and the owner of a request.

``find`` reads the bundle in force; ``choose`` reads the cell object, which
says who owns the hash slot of the key.
"""

import dataclasses
import random
import typing
import urllib.parse

import xxhash

from bronzepaddle import bundles, cells, ids, verdicts


@dataclasses.dataclass(frozen=True)
class RequestMatch:
    """The service and key that a request names."""

    service: bundles.Service
    key: str
    slot: ids.SlotId
    former_name: bool


@dataclasses.dataclass(frozen=True)
class NoMatch:
    """No service, or no key where the service is divided by key."""

    reason: verdicts.Reason
    detail: str


@dataclasses.dataclass(frozen=True)
class RequestTarget:
    """What a process of the system has been asked for."""

    host: str
    path: str
    query: str
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Choice:
    """The member that a request goes to, or None, and why."""

    member: ids.MemberId | None
    reason: verdicts.Reason
    token: ids.Token | None = None


def slot_of(key: str, slots: int) -> ids.SlotId:
    """Return the hash slot of a key among ``slots``."""
    return ids.SlotId(xxhash.xxh3_64_intdigest(key.encode()) % slots)


def find(
    rules: bundles.Bundle, target: RequestTarget
) -> RequestMatch | NoMatch:
    """Return what a request names under the bundle in force."""
    host = target.host.partition(":")[0].lower()
    best: tuple[int, bundles.Service, str, bool] | None = None
    for service in rules.services.values():
        if service.host and service.host != host:
            continue
        for prefix in (service.prefix, *service.former_prefixes):
            longer = best is None or len(prefix) > best[0]
            if longer and _below(prefix, target.path):
                former = prefix != service.prefix
                best = (len(prefix), service, prefix, former)
    if best is None:
        return NoMatch(
            verdicts.Reason.UNKNOWN_NAME, f"no service at {target.path}"
        )
    _, service, prefix, former = best
    if not service.keyed:
        return RequestMatch(service, "", ids.SlotId(0), former)
    key = _key(service.key, target, prefix)
    if not key:
        return NoMatch(
            verdicts.Reason.NO_KEY,
            f"service {service.name} needs a key in the "
            f"{service.key.source.value} ({service.key.where})",
        )
    return RequestMatch(service, key, slot_of(key, service.slots), former)


def choose(
    view: cells.Cell,
    found: RequestMatch,
    outstanding: typing.Callable[[ids.MemberId], float],
    rng: random.Random,
) -> Choice:
    """Return the member that serves a request.

    A keyed request goes to the owner of its slot.  Any other goes to the
    less loaded of two members drawn at random.
    """
    service = found.service
    if service.keyed:
        return _owner(view, service.name, found)
    able = view.serving(service.name)
    if not able:
        return Choice(None, verdicts.Reason.NO_BACKEND)
    drawn = rng.sample(able, k=min(2, len(able)))
    return Choice(min(drawn, key=outstanding), verdicts.Reason.LEAST_LOADED)


def _owner(
    view: cells.Cell, service: ids.ServiceName, found: RequestMatch
) -> Choice:
    grant = view.grant(service, found.slot)
    if grant is None:
        return Choice(None, verdicts.Reason.NO_OWNER)
    return Choice(grant.owner, verdicts.Reason.OWNER_REMOTE, grant.token)


def _below(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")


def _key(rule: bundles.KeyRule, target: RequestTarget, prefix: str) -> str:
    match rule.source:
        case bundles.KeySource.NONE:
            return ""
        case bundles.KeySource.PATH:
            segments = target.path[len(prefix) :].lstrip("/").split("/")
            number = int(rule.where)
            if number >= len(segments):
                return ""
            return urllib.parse.unquote(segments[number])
        case bundles.KeySource.HEADER:
            return target.headers.get(rule.where, "")
        case bundles.KeySource.QUERY:
            values = urllib.parse.parse_qs(target.query).get(rule.where)
            return values[0] if values else ""
        case _:
            typing.assert_never(rule.source)
