"""Odd entries among those of the servers are left out, and nothing else.

Guards against one entry of another writer, nested very deeply, with a number
too large or with a port out of range, by which processes ended, stopped to
send statuses or no longer followed a list.
"""

import asyncio
import collections.abc
import contextlib
import threading
import typing

import hypothesis
import msgspec
import pytest
from bronzepaddle import (
    cells,
    clocks,
    documents,
    ids,
    key_ranges,
    route_table,
    store_versions,
)
from bronzepaddle_backend import announcements
from bronzepaddle_callers import server
from bronzepaddle_node import peer_table, status_broadcast
from bronzepaddle_peers import codec, datagrams, statuses
from bronzepaddle_platform import config, object_store, registry
from bronzepaddle_store import http_calls, store
from hypothesis import strategies
from support import odd_json, sample_status

TIMEOUT_S: typing.Final = 30.0


def stored(name: str, spec: bytes) -> bytes:
    """Return an object of the store as its responses contain it."""
    return b'{"metadata":{"name":"%b","revision":7},"spec":%b}' % (
        name.encode(),
        spec,
    )


def page(*items: bytes) -> bytes:
    return b'{"items":[%b],"has_more":false,"current_rev":50}' % b",".join(
        items
    )


@contextlib.contextmanager
def connected_store(
    *bodies: bytes,
) -> collections.abc.Iterator[object_store.ObjectStore]:
    """Connect to a store whose responses have the given bodies, in order."""
    left = list(bodies)

    def serve(
        environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        body = left.pop(0)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    http_server = server.BackgroundServer(
        ("127.0.0.1", 0), serve, numthreads=2, shutdown_timeout=1
    )
    http_server.start_threads()
    client = object_store.ObjectStore(
        "{}:{}".format(*http_server.bind_addr[:2]),
        TIMEOUT_S,
        http_calls.CallBudget(100),
    )
    yield client
    client.close()
    threading.Thread(target=http_server.stop, daemon=True).start()


async def register_and_send(
    client: store.Store, good_port: int
) -> dict[ids.MemberId, cells.Address]:
    """Register, then send one status; return the addresses it was sent to."""
    sender = sample_status.PLAIN.sender
    table = peer_table.PeerTable(sender, ids.ZoneName("a"))
    udp = datagrams.DatagramSocket(b"", statuses.Status, lambda _: None)
    port = await udp.listen("127.0.0.1", 0)
    broadcaster = status_broadcast.StatusBroadcaster(
        status_broadcast.RegisteredProcess(
            cells.Address("127.0.0.1", port), 1
        ),
        table,
        client,
        udp,
        lambda sequence: msgspec.structs.replace(
            sample_status.PLAIN, sequence=sequence
        ),
        0.5,
        clocks.BootClock(),
        lambda _name, _address: None,
    )
    received = asyncio.Event()
    peer = datagrams.DatagramSocket(
        b"", statuses.Status, lambda _: received.set()
    )
    await peer.listen("127.0.0.1", good_port)
    await broadcaster.register()
    sending = asyncio.create_task(broadcaster.run())
    await asyncio.wait_for(received.wait(), TIMEOUT_S)
    sending.cancel()
    peer.close()
    udp.close()
    return broadcaster.discovered


def unused_udp_port() -> int:
    """Return a UDP port that is free now."""

    async def bind() -> int:
        udp = datagrams.DatagramSocket(b"", statuses.Status, lambda _: None)
        port = await udp.listen("127.0.0.1", 0)
        udp.close()
        return port

    return asyncio.run(bind())


@pytest.mark.parametrize("name", odd_json.REGISTRATIONS)
def test_odd_registration_is_left_out(name: str) -> None:
    """All other processes of the list get the statuses of this one."""
    good_port = unused_udp_port()
    good = odd_json.REGISTRATION % str(good_port).encode()
    responses = (
        stored("me", good),
        page(
            stored("first", good),
            stored(name, odd_json.REGISTRATIONS[name]),
            stored("last", good),
        ),
    )
    with connected_store(*responses) as client:
        discovered = asyncio.run(register_and_send(client, good_port))
    assert set(discovered) == {"first", "last"}


ODD_ITEMS: typing.Final = (
    b"null",
    b"5",
    odd_json.DEEP,
    b'{"metadata":null,"spec":1}',
    b'{"metadata":{"name":5,"revision":7},"spec":1}',
    b'{"metadata":{"name":"odd","revision":-1},"spec":1}',
    b'{"metadata":{"name":"odd","revision":1e400},"spec":1}',
    b'{"metadata":{"name":"odd","revision":%d},"spec":1}' % 10**40,
    b'{"metadata":{"name":"odd","revision":7}}',
)


@pytest.mark.parametrize("item", ODD_ITEMS)
def test_odd_item_of_a_list_is_left_out(item: bytes) -> None:
    good = stored("good", b"{}")
    with connected_store(page(item, good, item)) as client:
        listed = asyncio.run(client.list("members"))
    assert set(listed) == {"good"}


@pytest.mark.parametrize("item", ODD_ITEMS)
def test_odd_event_of_a_watch_is_left_out(item: bytes) -> None:
    events = b",".join(
        b'{"object":%b,"tombstone":false}' % shown
        for shown in (item, stored("main", b'{"v":1}'), item)
    )
    response = b'{"events":[%b,null],"current_rev":50}' % events
    with connected_store(response) as client:
        changed = asyncio.run(
            client.watch(
                "config/main",
                store_versions.of_first_era(ids.ObjectVersion(3)),
                1.0,
            )
        )
    assert changed is not None
    assert changed.body == b'{"v":1}'


def test_list_without_any_usable_item_ends() -> None:
    """Guards against asking for the same page again and again."""
    response = page(b"null").replace(b"false", b"true ")
    with connected_store(response) as client:
        assert asyncio.run(client.list("members")) == {}


CONFIG: typing.Final = (
    b'{"version":"00000002","routes":[{"name":"r","host":"h","path_prefix":'
    b'"/a/","route_type":"idempotent","timeout_ms":1000,"service":"s"}],'
    b'"services":[{"name":"s","warm_s":2}],"limits":{"idle_timeout_ms":1}}'
)


@pytest.mark.parametrize(
    ("text", "odd"),
    [
        (b"00000002", b"f" * 40),
        (b"00000002", b"-2"),
        (b"1000", b"1e400"),
        (b"1000", b"1e300"),
        (b"1000", b"-1"),
        (b'"idle_timeout_ms":1', b'"idle_timeout_ms":1e300'),
        (b'"idle_timeout_ms":1', b'"max_body_bytes":%d' % 10**40),
        (b'"warm_s":2', b'"warm_s":1e300'),
        (b'"warm_s":2', b'"max_connections":%d' % 10**40),
        (b'"service":"s"', b'"service":"s","priority":%d' % 10**40),
        (b'"service":"s"', b'"service":"s","priority":-1'),
        (b'"service":"s"', b'"service":"s","max_attempts":%d' % 10**40),
        (
            b'"service":"s"',
            b'"traffic_split":[{"service":"s","weight":1e308},'
            b'{"service":"s","weight":1e308}]',
        ),
        (b'"service":"s"', b'"service":%b' % odd_json.DEEP),
        (b'"h"', b'"\xff"'),
        (b"{", odd_json.DEEP),
    ],
)
def test_odd_configuration_is_rejected(text: bytes, odd: bytes) -> None:
    assert config.decode(CONFIG).version == 2
    with pytest.raises(route_table.InvalidConfigError):
        config.decode(CONFIG.replace(text, odd, 1))


def test_configuration_with_a_deep_unknown_field_is_in_force() -> None:
    document = CONFIG.replace(b"{", b'{"later":%b,' % odd_json.DEEP, 1)
    assert config.decode(document).version == 2


REPORT: typing.Final = (
    b'{"address":"127.0.0.1:8080","info":{"service":"s","version":"v",'
    b'"zone":"a","slots":9},"status":{"state":"ready","sequence":4,'
    b'"cold_remaining_ms":0},"born":17}'
)


@pytest.mark.parametrize(
    ("text", "odd"),
    [
        (b":8080", b":0"),
        (b":8080", b":65536"),
        (b":8080", b":-1"),
        (b":8080", b":" + b"9" * 5000),
        (b":8080", b""),
        (b"127.0.0.1", b"nowhere"),
        (b"127.0.0.1", b"127.0.0.1:1"),
        (b'"slots":9', b'"slots":%d' % 10**40),
        (b'"slots":9', b'"slots":-9'),
        (b'"slots":9', b'"slots":1e400'),
        (b'"sequence":4', b'"sequence":%d' % 10**40),
        (b'"sequence":4', b'"sequence":-1'),
        (b'"born":17', b'"born":%d' % 10**40),
        (b'"cold_remaining_ms":0', b'"cold_remaining_ms":1e400'),
        (b'"info":{', b'"info":%b,"x":{' % odd_json.DEEP),
        (b"{", odd_json.DEEP),
    ],
)
def test_odd_report_is_rejected(text: bytes, odd: bytes) -> None:
    assert registry.decode("i-1", REPORT).port == 8080
    with pytest.raises(registry.BadReportError):
        registry.decode("i-1", REPORT.replace(text, odd, 1))


def test_report_with_a_deep_unknown_field_is_accepted() -> None:
    body = REPORT.replace(b"{", b'{"later":%b,' % odd_json.DEEP, 1)
    assert registry.decode("i-1", body).port == 8080


ANNOUNCEMENT: typing.Final = (
    b'{"run":"r","service":"s","host":"127.0.0.1","port":8080,"slots":9,'
    b'"connections":12}'
)


@pytest.mark.parametrize(
    ("text", "odd"),
    [
        (b"8080", b"0"),
        (b"8080", b"65536"),
        (b"8080", b"-1"),
        (b"8080", b"%d" % 10**40),
        (b":9", b":%d" % 10**40),
        (b":9", b":-9"),
        (b":12", b":1e400"),
        (b'"r"', odd_json.DEEP),
    ],
)
def test_odd_announcement_is_rejected(text: bytes, odd: bytes) -> None:
    assert announcements.decode(ANNOUNCEMENT).slots == 9
    with pytest.raises(msgspec.DecodeError):
        announcements.decode(ANNOUNCEMENT.replace(text, odd, 1))


OWNERSHIP: typing.Final = (
    b'{"service":"s","next_token":3,"ranges":[[0,9,["m","r"],1,true,"",0],'
    b'[10,65535,["n","r"],2,false,"",1]]}'
)


@pytest.mark.parametrize(
    ("text", "odd"),
    [
        (b"[0,9", b"[1,9"),
        (b"[0,9", b"[0,8"),
        (b"[0,9", b"[0,10"),
        (b"[10,65535", b"[10,65536"),
        (b"[10,65535", b"[10,65534"),
        (b"[10,65535", b"[10,5"),
        (b'"r"],1', b'"r"],-1'),
        (b'"r"],1', b'"r"],3'),
        (b'"r"],1', b'"r"],%d' % 10**40),
        (b'"",1]', b'"",9]'),
        (b'"next_token":3', b'"next_token":%d' % 10**40),
        (b'["m","r"]', odd_json.DEEP),
        (b"{", odd_json.DEEP),
        (b'"ranges":[', b'"ranges":[],"x":['),
    ],
)
def test_odd_ownership_is_rejected(text: bytes, odd: bytes) -> None:
    assert key_ranges.decode(OWNERSHIP).next_token == 3
    with pytest.raises(msgspec.DecodeError):
        key_ranges.decode(OWNERSHIP.replace(text, odd, 1))


def test_deep_cell_is_rejected() -> None:
    with pytest.raises(msgspec.DecodeError):
        cells.decode(odd_json.DEEP)


def test_deep_or_wrong_status_is_rejected() -> None:
    """The decoder of messages between peers raises no other error."""
    fields = [
        msgspec.msgpack.encode(value)
        for value in msgspec.structs.astuple(sample_status.PLAIN)
    ]
    good = b"\xdc" + len(fields).to_bytes(2, "big") + b"".join(fields)
    assert codec.decode(good, statuses.Status) == sample_status.PLAIN
    deep = b"\x91" * 20_000 + b"\x90"
    bad_port = msgspec.msgpack.encode({"host": "127.0.0.1", "port": 65_536})
    position = fields.index(
        msgspec.msgpack.encode(sample_status.PLAIN.address)
    )
    odd_fields = [*fields]
    odd_fields[position] = bad_port
    head = b"\xdc" + len(fields).to_bytes(2, "big")
    for odd in (deep, b"\xff", b"", head + b"".join(odd_fields)):
        with pytest.raises(msgspec.DecodeError):
            codec.decode(odd, statuses.Status)


JSON_VALUES: typing.Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=15,
)


@hypothesis.seed(1)
@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    document=strategies.sampled_from(
        (CONFIG, REPORT, ANNOUNCEMENT, OWNERSHIP)
    ),
    value=JSON_VALUES,
    data=strategies.data(),
)
def test_any_value_anywhere_is_accepted_or_rejected(
    document: bytes, value: object, data: strategies.DataObject
) -> None:
    """No decoder raises an undocumented error; what it accepts can be sent."""
    marks = [i for i, byte in enumerate(document) if byte in b":,["]
    start = data.draw(strategies.sampled_from(marks)) + 1
    end = data.draw(strategies.integers(start, len(document)))
    odd = document[:start] + msgspec.json.encode(value) + document[end:]
    with contextlib.suppress(
        msgspec.DecodeError,
        route_table.InvalidConfigError,
        registry.BadReportError,
    ):
        decoders: dict[bytes, collections.abc.Callable[[bytes], object]] = {
            CONFIG: config.decode,
            REPORT: lambda body: registry.decode("i-1", body),
            ANNOUNCEMENT: announcements.decode,
            OWNERSHIP: key_ranges.decode,
        }
        decoded = decoders[document](odd)
        msgspec.msgpack.encode(msgspec.to_builtins(decoded, str_keys=True))


@hypothesis.seed(1)
@hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@hypothesis.given(value=JSON_VALUES)
def test_shallow_documents_are_unchanged(value: object) -> None:
    body = msgspec.json.encode(value)
    assert documents.replace_deep_values(body) == body
    wrapped = b'{"deep":%b,"kept":%b}' % (odd_json.DEEP, body)
    decoded = documents.decode(wrapped, dict[str, typing.Any])
    assert decoded["kept"] == msgspec.json.decode(body)
