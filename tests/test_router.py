"""What callers are told after several tries of one request."""

import asyncio
import collections.abc
import random
import typing

import pytest
from bronzepaddle import (
    clocks,
    http_messages,
    ids,
    retries,
    route_table,
    verdicts,
)
from bronzepaddle_callers import buffered_app
from bronzepaddle_node import peer_table, router

ME: typing.Final = ids.MemberId("me")
SHOP: typing.Final = ids.ServiceName("shop")


def answer(
    verdict: verdicts.Verdict, reason: verdicts.Reason
) -> http_messages.Response:
    if verdict is verdicts.Verdict.RAN:
        return http_messages.Response(200, (), iter(()), verdict, reason, ME)
    return http_messages.refusal(reason, ME, verdict)


LOST: typing.Final = (
    verdicts.Verdict.MAY_HAVE_RUN,
    verdicts.Reason.BACKEND_LOST,
)
TOO_LATE: typing.Final = (verdicts.Verdict.NOT_RUN, verdicts.Reason.TOO_LATE)
SHED: typing.Final = (verdicts.Verdict.NOT_RUN, verdicts.Reason.SHED)
SERVED: typing.Final = (verdicts.Verdict.RAN, verdicts.Reason.SERVED)

Try: typing.TypeAlias = tuple[verdicts.Verdict, verdicts.Reason]


class Scripted(router.Router):
    """A router whose tries end as a list says."""

    def __init__(self, tries: collections.abc.Iterable[Try]) -> None:
        unused: typing.Any = None
        super().__init__(
            ME,
            SHOP,
            peer_table.PeerTable(ME, ids.ZoneName("zone")),
            unused,
            unused,
            retries.RetryBudgets(0.0, 100.0),
            unused,
            clocks.BootClock(),
            random.Random(1),
        )
        self.script = list(tries)

    async def _try(self, progress: typing.Any) -> http_messages.Response:
        progress.tries += 1
        progress.reached += 1
        return answer(*self.script.pop(0))


def told(
    kind: route_table.RouteKind,
    tries: list[Try],
    keyed: bool = False,
    found: Scripted | None = None,
) -> http_messages.Response:
    """Return what the caller of a request is told after some tries."""
    found = found or Scripted(tries)
    share = route_table.WeightedService(SHOP, 1.0)
    found.update_table(
        route_table.Table(
            ids.BundleVersion(1),
            (
                route_table.Route(
                    "r", "h", "/", kind, 0, 5.0, 1.0, 3, (share,)
                ),
            ),
            {SHOP: route_table.ServiceRules(SHOP, keyed, 10, "/health")},
            route_table.Limits(),
        )
    )
    arrival = buffered_app.BufferedRequest(
        ids.RequestId("1"), "GET", "h", "/a", "/a", (), 7, 5.0, b"", None
    )
    progress = found._begin(arrival, found.time.now())
    assert not isinstance(progress, http_messages.Response)
    return asyncio.run(found._until_done(progress))


@pytest.mark.parametrize(
    ("tries", "verdict", "status"),
    [
        ([SERVED], verdicts.Verdict.RAN, 200),
        ([TOO_LATE], verdicts.Verdict.NOT_RUN, 503),
        ([LOST, SERVED], verdicts.Verdict.RAN, 200),
        # It may have run, whatever the second server says of itself.
        ([LOST, TOO_LATE], verdicts.Verdict.MAY_HAVE_RUN, 502),
        ([LOST, SHED], verdicts.Verdict.MAY_HAVE_RUN, 502),
    ],
)
def test_refusal_is_true_after_several_tries(
    tries: list[Try], verdict: verdicts.Verdict, status: int
) -> None:
    found = told(route_table.RouteKind.IDEMPOTENT, tries)
    assert (found.verdict, found.status) == (verdict, status)


def test_request_that_may_have_run_is_not_sent_again_unless_idempotent() -> (
    None
):
    found = told(route_table.RouteKind.NOT_IDEMPOTENT, [LOST, SERVED])
    assert found.verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("tries", "verdict"),
    [
        ([SHED, SERVED], verdicts.Verdict.RAN),
        ([SHED, SHED, SERVED], verdicts.Verdict.RAN),
        # The route allows three sends.
        ([SHED, SHED, SHED, SERVED], verdicts.Verdict.NOT_RUN),
        # Its line is full: another try would only add to it.
        ([TOO_LATE, SERVED], verdicts.Verdict.NOT_RUN),
    ],
)
def test_server_of_a_key_that_refuses_is_asked_again(
    tries: list[Try], verdict: verdicts.Verdict
) -> None:
    found = told(route_table.RouteKind.NOT_IDEMPOTENT, tries, keyed=True)
    assert found.verdict is verdict


@pytest.mark.parametrize(
    ("left_s", "verdict"),
    [
        (0.5, verdicts.Verdict.NOT_RUN),
        (5.0, verdicts.Verdict.RAN),
    ],
)
def test_request_that_the_end_of_the_process_would_cut_is_not_begun(
    left_s: float, verdict: verdicts.Verdict
) -> None:
    """It was cut at its server, 0.35 s after it came."""
    stopping = Scripted([SERVED])
    stopping.means_s["r"] = 0.3
    stopping.process_ends_at = stopping.time.now() + left_s
    found = told(route_table.RouteKind.IDEMPOTENT, [], found=stopping)
    assert found.verdict is verdict
    assert bool(stopping.script) is (verdict is verdicts.Verdict.NOT_RUN)
