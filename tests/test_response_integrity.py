"""Responses that are cut off, malformed or sent again are not believed.

Guards against two faults of backend servers.  A server that closed the
connection within the head of its response was taken to have sent a whole
response with an empty or short body.  A refusal that was sent once more on a
kept connection was taken for that of the next request, which had run.
"""

import contextlib
import typing

import hypothesis
import pytest
from bronzepaddle import clocks, http_messages, ids, verdicts
from bronzepaddle_backend import connections, dispatch
from hypothesis import strategies
from support import scripted_server

HEAD: typing.Final = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Signature: s\r\n"
)
WITH_LENGTH: typing.Final = HEAD + b"Content-Length: 5\r\n\r\nhello"
CHUNKED: typing.Final = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
UNTIL_CLOSE: typing.Final = HEAD + b"\r\nhello"
NO_BODY: typing.Final = HEAD + b"Content-Length: 0\r\n\r\n"
REFUSAL: typing.Final = (
    b"HTTP/1.1 503 No\r\nRequest-Id: r-1\r\nNot-Executed: 1\r\n"
    b"Content-Length: 4\r\n\r\nfull"
)
MISDIRECTED: typing.Final = (
    b"HTTP/1.1 421 No\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n"
)
WITHOUT_ID: typing.Final = REFUSAL.replace(b"Request-Id: r-1\r\n", b"")

NEXT_ID: typing.Final = ids.RequestId("r-2")


def send(
    *scripts: list[bytes], **changes: typing.Any
) -> http_messages.Response:
    """Return the response to one request to a scripted server."""
    server = scripted_server.ScriptedServer(*scripts)
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        return pool.send(
            scripted_server.backend_request(**changes),
            connections.Cancellation(),
        )


def cut_points(response: bytes) -> range:
    """Return the numbers of bytes after which a response can be cut."""
    return range(len(response))


@pytest.mark.parametrize(
    "response", [WITH_LENGTH, CHUNKED, NO_BODY, REFUSAL, MISDIRECTED]
)
def test_response_cut_anywhere_may_have_run(response: bytes) -> None:
    for sent_bytes in cut_points(response):
        received = send([response[:sent_bytes]])
        assert received.verdict is verdicts.Verdict.MAY_HAVE_RUN, sent_bytes


def test_head_cut_anywhere_without_length_may_have_run() -> None:
    """Only a body without length may end with its connection."""
    for sent_bytes in range(UNTIL_CLOSE.index(b"hello")):
        received = send([UNTIL_CLOSE[:sent_bytes]])
        assert received.verdict is verdicts.Verdict.MAY_HAVE_RUN, sent_bytes


MALFORMED_HEADERS: typing.Final = (
    b"Content-Length: -1",
    b"Content-Length: +5",
    b"Content-Length: 5x",
    b"Content-Length: 1e1",
    b"Content-Length: 99999999999999999999999999",
    b"Content-Length: " + b"9" * 5000,
    b"Content-Length: 5\r\nContent-Length: 4",
    b"Content-Length : 5",
    b"a line without a colon\r\nContent-Length: 5",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked\r\nContent-Length: 5",
    b"Request-Id: r-1\r\nContent-Length: 5",
    b"Request-Id: r-0\r\nContent-Length: 5",
)


@pytest.mark.parametrize("headers", MALFORMED_HEADERS)
def test_malformed_head_may_have_run(headers: bytes) -> None:
    response = HEAD + headers + b"\r\n\r\nhello"
    assert send([response]).verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [b"101", b"199", b"99", b"1000", b"-2"])
def test_status_that_is_not_final_may_have_run(status: bytes) -> None:
    response = WITH_LENGTH.replace(b"200", status)
    assert send([response]).verdict is verdicts.Verdict.MAY_HAVE_RUN


ODD_STATUSES: typing.Final = (
    b"000",
    b"0",
    b"099",
    b"20",
    b"600",
    b"1000",
    b"2_00",
    b"+200",
    b"0200",
    b"00200",
    b"200.0",
    b"2e2",
    b"\xb2\xb0\xb0",
)
"""Texts in the place of a status that are not three digits of 200 to 599.

``int`` accepts some of them.
"""


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_odd_status_is_no_response(status: bytes) -> None:
    """Guards against a failure of a server that is taken for a success."""
    response = WITH_LENGTH.replace(b"200", status)
    assert send([response]).verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 200 two words",
    ],
)
def test_valid_status_line_is_accepted(line: bytes) -> None:
    response = WITH_LENGTH.replace(b"HTTP/1.1 200 OK", line)
    assert send([response]).verdict is verdicts.Verdict.RAN


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200 OK",
        b" HTTP/1.1 200 OK",
        b"HTTP/1.10 200 OK",
        b"HTTP/2.0 200 OK",
        b"ICY 200 OK",
        b"HTTP/1.1 200OK",
    ],
)
def test_malformed_status_line_may_have_run(line: bytes) -> None:
    response = WITH_LENGTH.replace(b"HTTP/1.1 200 OK", line)
    assert send([response]).verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_odd_status_confirms_no_command(status: bytes) -> None:
    server = scripted_server.ScriptedServer(
        [b"HTTP/1.1 " + status + b" X\r\nContent-Length: 0\r\n\r\n"]
    )
    pool = scripted_server.connection_pool(server.port)
    with (
        contextlib.closing(pool),
        pytest.raises(connections.CommandLostError),
    ):
        pool.send_command("/api/release", lambda: b"{}", 5.0)


@pytest.mark.parametrize("status", [0, 99, 199, 600, 1000])
def test_response_to_a_caller_has_a_final_status(status: int) -> None:
    """No status of a peer or of this process's own is passed on otherwise."""
    with pytest.raises(ValueError, match="status"):
        http_messages.Response(
            status,
            (),
            iter(()),
            verdicts.Verdict.RAN,
            verdicts.Reason.SERVED,
            ids.MemberId("me"),
        )


def test_interim_responses_are_skipped() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Some: 1\r\n\r\n"
    received = send([interim + interim + WITH_LENGTH])
    assert received.verdict is verdicts.Verdict.RAN
    assert b"".join(received.body) == b"hello"


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e400", None),
        ("9" * 5000, None),
        ("soon", None),
        ("", None),
        (None, None),
    ],
)
def test_retry_after_is_a_usable_number_or_none(
    text: str | None, seconds: float | None
) -> None:
    assert http_messages.parse_retry_after(text) == seconds


EARLIER_REFUSALS: typing.Final = {
    "same response again": (REFUSAL, REFUSAL),
    "without id": (WITHOUT_ID, WITHOUT_ID),
    "first with id, again without": (REFUSAL, WITHOUT_ID),
    "misdirected": (MISDIRECTED, MISDIRECTED),
}


@pytest.mark.parametrize("case", EARLIER_REFUSALS)
@pytest.mark.parametrize("next_id", [scripted_server.REQUEST_ID, NEXT_ID])
def test_refusal_sent_again_is_not_that_of_the_next_request(
    case: str, next_id: ids.RequestId
) -> None:
    """The server runs the second request and repeats its refusal."""
    first, again = EARLIER_REFUSALS[case]
    ran = WITH_LENGTH.replace(b"r-1", next_id.encode())
    server = scripted_server.ScriptedServer([first, again], [ran])
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        refused = pool.send(
            scripted_server.backend_request(method="POST", idempotent=False),
            connections.Cancellation(),
        )
        assert refused.verdict is verdicts.Verdict.NOT_RUN
        second = pool.send(
            scripted_server.backend_request(
                request_id=next_id, method="POST", idempotent=False
            ),
            connections.Cancellation(),
        )
    assert second.verdict is not verdicts.Verdict.NOT_RUN


@pytest.mark.parametrize("again", [REFUSAL, REFUSAL.replace(b"r-1", b"r-0")])
def test_refusal_of_another_request_may_have_run(again: bytes) -> None:
    """A kept connection on which a response was whole and not a refusal."""
    server = scripted_server.ScriptedServer([WITH_LENGTH, again])
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        for request_id, verdict in (
            (scripted_server.REQUEST_ID, verdicts.Verdict.RAN),
            (NEXT_ID, verdicts.Verdict.MAY_HAVE_RUN),
        ):
            response = pool.send(
                scripted_server.backend_request(request_id=request_id),
                connections.Cancellation(),
            )
            assert response.verdict is verdict


def test_release_is_not_confirmed_by_an_earlier_response() -> None:
    """Guards against a repeated response to a grant that confirms a release.

    The next owner would be granted the keys while requests still run.
    """
    granted = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    server = scripted_server.ScriptedServer([granted, granted], [b""])
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        status = pool.send_command("/api/grant", lambda: b"{}", 5.0).status
        assert status == 200
        with pytest.raises(connections.CommandLostError):
            pool.send_command("/api/release", lambda: b"{}", 5.0, reuse=False)


def test_release_leaves_idle_connections_open() -> None:
    """A release has a connection of its own and closes no other one."""
    released = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    server = scripted_server.ScriptedServer(
        [WITH_LENGTH, WITH_LENGTH], [released]
    )
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        pool.send(
            scripted_server.backend_request(), connections.Cancellation()
        )
        (kept,) = pool.idle
        with pytest.raises(connections.CommandLostError):
            # The server serves its second connection after the first one.
            pool.send_command("/api/release", lambda: b"{}", 0.2, reuse=False)
        assert pool.idle == [kept]


def test_response_to_a_request_is_not_that_to_a_command() -> None:
    server = scripted_server.ScriptedServer([WITH_LENGTH])
    pool = scripted_server.connection_pool(server.port)
    with (
        contextlib.closing(pool),
        pytest.raises(connections.CommandLostError),
    ):
        pool.send_command("/api/grant", lambda: b"{}", 5.0)


@hypothesis.seed(1)
@hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
@hypothesis.given(data=strategies.data())
def test_whole_response_is_believed_only_as_sent(
    data: strategies.DataObject,
) -> None:
    """Headers in any order and number, sent whole or cut."""
    lines = data.draw(
        strategies.lists(
            strategies.sampled_from(
                (
                    b"Request-Id: r-1",
                    b"Request-Id: r-0",
                    b"Server-Signature: s",
                    b"Content-Length: 5",
                    b"Content-Length: 7",
                    b"Not-Executed: 1",
                    b"Transfer-Encoding: chunked",
                    b"X-Other: 1",
                    b"no colon",
                )
            ),
            max_size=7,
        )
    )
    status = data.draw(strategies.sampled_from((b"200", b"503", b"421")))
    head = b"".join(line + b"\r\n" for line in lines) + b"\r\n"
    whole = b"HTTP/1.1 " + status + b" X\r\n" + head + b"hello"
    sent_bytes = data.draw(strategies.integers(0, len(whole)))
    received = send([whole[:sent_bytes]])
    in_head = sent_bytes < len(whole) - 5
    if in_head or b"no colon" in lines or b"Request-Id: r-0" in lines:
        assert received.verdict is verdicts.Verdict.MAY_HAVE_RUN
    elif received.verdict is verdicts.Verdict.RAN:
        assert lines.count(b"Request-Id: r-1") == 1
        with_length = b"Content-Length: 5" in lines
        assert sent_bytes == len(whole) or not with_length
        assert (
            b"".join(received.body)
            == whole[-5:][: 5 - (len(whole) - sent_bytes)]
        )


# The own form of requests, in a cell.

CELL_RESPONSE: typing.Final = (
    b"HTTP/1.1 200 OK\r\nBronzepaddle-Request-Id: r-1\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CELL_CHUNKED: typing.Final = CELL_RESPONSE.replace(
    b"Content-Length: 5\r\n\r\nhello",
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
)
CELL_REFUSAL: typing.Final = (
    b"HTTP/1.1 503 No\r\nBronzepaddle-Request-Id: r-1\r\n"
    b"Bronzepaddle-Refused: shed\r\nContent-Length: 0\r\n\r\n"
)


def cell_request(request_id: str) -> http_messages.Request:
    return http_messages.Request(
        request_id=ids.RequestId(request_id),
        caller="c",
        service=ids.ServiceName("shop"),
        priority=ids.PriorityName("first"),
        method="POST",
        target="/a",
        headers=(),
        key="",
        slot=ids.SlotId(0),
        deadline=clocks.BootClock().now() + 20.0,
        idempotent=False,
        idempotency_key=None,
        first_attempt=True,
        body_length=0,
    )


def dispatcher(port: int) -> dispatch.Dispatcher:
    return dispatch.Dispatcher(
        ids.MemberId("me"), "127.0.0.1", port, 1, clocks.BootClock()
    )


def is_whole(response: http_messages.Response) -> bool:
    """Return whether a response and its body are believed to be whole."""
    if response.verdict is not verdicts.Verdict.RAN:
        return False
    try:
        return b"".join(response.body) == b"hello"
    except http_messages.IncompleteBodyError:
        return False


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_odd_status_is_no_response_in_a_cell(status: bytes) -> None:
    server = scripted_server.ScriptedServer(
        [CELL_RESPONSE.replace(b"200", status)]
    )
    sender = dispatcher(server.port)
    with contextlib.closing(sender):
        response = sender.send(cell_request("r-1"), iter(()), None)
    assert response.verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "response", [CELL_RESPONSE, CELL_CHUNKED, CELL_REFUSAL]
)
def test_response_cut_anywhere_is_not_whole_in_a_cell(
    response: bytes,
) -> None:
    for sent_bytes in cut_points(response):
        server = scripted_server.ScriptedServer([response[:sent_bytes]])
        sender = dispatcher(server.port)
        with contextlib.closing(sender):
            received = sender.send(cell_request("r-1"), iter(()), None)
            assert received.verdict is not verdicts.Verdict.NOT_RUN, sent_bytes
            assert not is_whole(received), sent_bytes


@pytest.mark.parametrize(
    "again",
    [
        CELL_REFUSAL,
        CELL_REFUSAL.replace(b"Bronzepaddle-Request-Id: r-1\r\n", b""),
        CELL_RESPONSE,
    ],
)
@pytest.mark.parametrize("first", [CELL_RESPONSE, CELL_REFUSAL])
def test_earlier_response_is_not_that_of_the_next_request_in_a_cell(
    first: bytes, again: bytes
) -> None:
    server = scripted_server.ScriptedServer([first, again], [b""])
    sender = dispatcher(server.port)
    with contextlib.closing(sender):
        received = sender.send(cell_request("r-1"), iter(()), None)
        list(received.body)
        second = sender.send(cell_request("r-2"), iter(()), None)
    assert second.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_refused_request_is_not_sent_again_on_its_connection() -> None:
    """The refusal that is sent again has the id of the repeated request."""
    server = scripted_server.ScriptedServer(
        [CELL_REFUSAL, CELL_REFUSAL], [CELL_RESPONSE]
    )
    sender = dispatcher(server.port)
    with contextlib.closing(sender):
        first = sender.send(cell_request("r-1"), iter(()), None)
        assert first.verdict is verdicts.Verdict.NOT_RUN
        assert is_whole(sender.send(cell_request("r-1"), iter(()), None))


def test_connection_is_reused_after_whole_responses() -> None:
    """New connections are dear: a whole response keeps its connection."""
    server = scripted_server.ScriptedServer([WITH_LENGTH, WITH_LENGTH])
    pool = scripted_server.connection_pool(server.port)
    with contextlib.closing(pool):
        for _ in range(2):
            response = pool.send(
                scripted_server.backend_request(), connections.Cancellation()
            )
            assert response.verdict is verdicts.Verdict.RAN
