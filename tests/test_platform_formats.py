"""Tests of decoding the platform's documents and rejecting malformed ones."""

import typing

import msgspec
import pytest
from bronzepaddle import ids, route_table
from bronzepaddle_backend import server_tracker
from bronzepaddle_platform import config, grant_commands, registry

REPORT: typing.Final[dict[str, typing.Any]] = {
    "address": "127.0.0.1:8080",
    "info": {"service": "shop", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 1500},
    "born": 1_700_000_000_000,
    "later": "a field that nobody knows yet",
}


def changed_document(
    document: dict[str, typing.Any], path: str, value: object
) -> bytes:
    """Return a document with one value replaced, or removed if None."""
    copy = msgspec.json.decode(msgspec.json.encode(document))
    parent = copy
    *parent_keys, last_key = path.split("/")
    for parent_key in parent_keys:
        parent = parent[
            int(parent_key) if parent_key.isdecimal() else parent_key
        ]
    if value is None:
        del parent[last_key]
    else:
        parent[last_key] = value
    return msgspec.json.encode(copy)


def test_report_is_decoded() -> None:
    announcement = registry.decode("i-1", msgspec.json.encode(REPORT))
    assert announcement == server_tracker.Announcement(
        "i-1",
        ids.ServiceName("shop"),
        "127.0.0.1",
        8080,
        9,
        server_tracker.AnnouncedState.READY,
        4,
        1_700_000_000_000,
        1.5,
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", None),
        ("address", "nowhere"),
        ("address", 8080),
        ("info", None),
        ("info/slots", None),
        ("info/slots", "9"),
        ("info/slots", 0),
        ("info/service", 5),
        ("status", "ready"),
        ("status/state", "resting"),
        ("status/sequence", 1.5),
        ("status/sequence", None),
        ("born", 1.5),
    ],
)
def test_malformed_report_is_rejected(path: str, value: object) -> None:
    with pytest.raises(registry.BadReportError):
        registry.decode("i-1", changed_document(REPORT, path, value))


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{", b"null"])
def test_undecodable_report_is_rejected(body: bytes) -> None:
    with pytest.raises(registry.BadReportError):
        registry.decode("i-1", body)


CONFIG: typing.Final[dict[str, typing.Any]] = {
    "version": "0000001f",
    "routes": [
        {
            "name": "r-1",
            "host": "one.example",
            "path_prefix": "/a/",
            "route_type": "non_idempotent",
            "timeout_ms": 1200,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "shop",
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "one.example",
            "path_prefix": "/b/",
            "route_type": "download",
            "traffic_split": [
                {"service": "shop", "weight": 90},
                {"service": "store", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "shop", "max_connections": 120, "sharded": True},
        {"name": "store"},
    ],
    "limits": {"max_body_bytes": 1000},
}


def test_config_is_decoded() -> None:
    table = config.decode(msgspec.json.encode(CONFIG))
    assert table.version == 0x1F
    first, second = table.routes
    assert not first.idempotent
    assert (first.timeout_s, first.target_s, first.rank) == (1.2, 0.4, 1)
    assert second.idempotent
    assert [weighted.weight for weighted in second.weighted_services] == [
        90,
        10,
    ]
    assert table.services[ids.ServiceName("shop")].keyed
    assert table.limits.max_body_bytes == 1000


def test_uploads_are_not_idempotent() -> None:
    """Guards against uploads that are repeated, or that aren't known at all.

    One route of an unknown kind kept all others from being served.
    """
    document = changed_document(CONFIG, "routes/1/route_type", "upload")
    upload = config.decode(document).routes[1]
    assert upload.kind is route_table.RouteKind.UPLOAD
    assert not upload.idempotent


def test_rates_of_cold_servers_are_decoded() -> None:
    cold = {"name": "shop", "cold_start_s": 3.0, "cold_per_s": 4.9}
    document = msgspec.json.encode(
        {**CONFIG, "services": [cold, {"name": "store"}]}
    )
    shop = config.decode(document).services[ids.ServiceName("shop")]
    assert (shop.cold_s, shop.cold_per_s) == (3.0, 4.9)


@pytest.mark.parametrize(
    ("path", "value", "place", "reason"),
    [
        ("routes/1/route_type", "batch", "route r-2", "batch"),
        ("routes/0/timeout_ms", "long", "routes[0].timeout_ms", "`str`"),
        ("routes/0/service", "nobody", "route r-1", "nobody"),
        ("services", 5, "services", "`int`"),
    ],
)
def test_error_names_version_place_and_reason(
    path: str, value: object, place: str, reason: str
) -> None:
    with pytest.raises(route_table.InvalidConfigError) as raised:
        config.decode(changed_document(CONFIG, path, value))
    assert raised.value.version == 0x1F
    assert raised.value.problem.place == place
    assert reason in raised.value.problem.reason


def test_error_of_an_undecodable_document_has_no_version() -> None:
    with pytest.raises(route_table.InvalidConfigError) as raised:
        config.decode(msgspec.json.encode(CONFIG)[:-9])
    assert raised.value.version is None


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", None),
        ("version", "x"),
        ("version", 5),
        ("routes", None),
        ("routes/0/route_type", "odd"),
        ("routes/0/service", None),
        ("routes/0/timeout_ms", "long"),
        ("routes/0/host", None),
        ("services", "shop"),
        ("limits", 5),
        ("routes/0/host", ""),
        ("routes/0/path_prefix", "a/"),
        ("routes/0/timeout_ms", 0),
        ("routes/0/timeout_ms", -5),
        ("routes/0/target_latency_ms", -1),
        ("routes/0/service", "nobody"),
        ("routes/1/traffic_split/0/service", "nobody"),
        ("routes/1/traffic_split/0/weight", -1),
        (
            "routes/1/traffic_split",
            [{"service": "shop", "weight": 0}],
        ),
        ("limits/max_body_bytes", -1),
    ],
)
def test_malformed_config_is_rejected(path: str, value: object) -> None:
    with pytest.raises(route_table.InvalidConfigError):
        config.decode(changed_document(CONFIG, path, value))


def test_grant_is_encoded_in_the_platforms_format() -> None:
    grant = grant_commands.Grant(4096, 8191, 12, 4000)
    assert msgspec.json.decode(msgspec.json.encode(grant)) == {
        "from": 4096,
        "target": 8191,
        "fence": 12,
        "hold_ms": 4000,
    }
