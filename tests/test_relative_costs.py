"""What processes learn of costs and backlogs from replies and statuses."""

import random
import typing

import msgspec
from bronzepaddle import http_messages, ids, verdicts
from bronzepaddle_node import peer_table
from bronzepaddle_node.requests import relative_costs
from bronzepaddle_peers import stream_client, stream_messages, stream_service
from support import sample_status

SHOP: typing.Final = ids.ServiceName("shop")
FAST_S: typing.Final = 0.02
SLOW_S: typing.Final = 0.2


def request(route: str) -> relative_costs.Request:
    return relative_costs.Request(
        SHOP, route, "GET", f"/{route}/1", 0, -1, SHOP
    )


CALL: typing.Final = request("call")
REPORT: typing.Final = request("report")


def learned(run_time_factor: float = 1.0) -> relative_costs.RelativeCosts:
    """Return costs learned from a fast and a slow server.

    A report costs ten times as much as a call.  The slow server gets most of
    the calls, the fast one most of the reports.
    """
    rng = random.Random(1)
    costs = relative_costs.RelativeCosts()
    for number in range(400):
        is_report = rng.random() < 0.5
        on_slow = rng.random() < (0.2 if is_report else 0.8)
        service_s = SLOW_S if on_slow else FAST_S
        run_s = service_s * (3.2 if is_report else 0.32) * run_time_factor
        cost = costs.expected(REPORT if is_report else CALL, number / 10)
        costs.record(cost, run_s, service_s, number / 10)
    return costs


def test_costs_are_learned_whatever_server_ran_the_requests() -> None:
    costs = learned()
    report, call = (costs.expected(r, 40.0) for r in (REPORT, CALL))
    assert 5 < report.relative / call.relative < 20


def test_request_that_was_not_served_teaches_nothing() -> None:
    costs = learned(run_time_factor=0.0)
    assert costs.expected(REPORT, 40.0).relative == 1.0
    assert not costs.model.values


def test_reply_carries_the_backlog_and_the_run_time() -> None:
    response = http_messages.Response(
        200,
        (),
        iter((b"body",)),
        verdicts.Verdict.RAN,
        verdicts.Reason.SERVED,
        ids.MemberId("b"),
    )
    sent = stream_client.Reply(response, 4, 0.1, True, 0.7, 0.25)
    head = next(
        iter(stream_service._response_messages(1, sent, memoryview(b"body")))
    )
    assert isinstance(head, stream_messages.ResponseHead)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(head), type=stream_messages.ResponseHead
    )
    received = stream_client._reply(decoded, decoded.piece)
    assert (received.backlog_s, received.run_s) == (0.7, 0.25)


def test_head_of_an_older_release_reports_no_backlog() -> None:
    head = (1, 200, (), "ran", "served", None, "", 4, 0.1, b"", False)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(("head", *head)),
        type=stream_messages.ResponseHead,
    )
    assert (decoded.backlog_s, decoded.run_s) == (0.0, 0.0)


def test_newest_report_of_a_backlog_counts_with_what_was_sent_since() -> None:
    table = peer_table.PeerTable(ids.MemberId("a"), ids.ZoneName("zone"))
    table.update(sample_status.status(outstanding=5, backlog_s=0.4), 0.0)
    peer = table.peers[sample_status.PLAIN.sender]
    assert table.candidate(peer).backlog_s == 0.4
    peer.in_flight += 2
    candidate = table.candidate(peer)
    assert (candidate.outstanding, candidate.sent_since) == (7, 2)
    unused: typing.Any = None
    reply = stream_client.Reply(unused, 3, 0.1, True, 0.1)
    table.record_reply(peer, reply, 0.1)
    candidate = table.candidate(peer)
    assert (candidate.backlog_s, candidate.sent_since) == (0.1, 0)
