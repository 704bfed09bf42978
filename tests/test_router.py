"""Retries by the router, and the response after several attempts."""

import asyncio
import collections.abc
import random
import typing

import pytest
from bronzepaddle import clocks, http_messages, ids, route_table, verdicts
from bronzepaddle.load import retries
from bronzepaddle_callers import buffered_app
from bronzepaddle_node import peer_table, process_end, router

ME: typing.Final = ids.MemberId("me")
SHOP: typing.Final = ids.ServiceName("shop")


def make_response(
    verdict: verdicts.Verdict, reason: verdicts.Reason
) -> http_messages.Response:
    if verdict is verdicts.Verdict.RAN:
        return http_messages.Response(200, (), iter(()), verdict, reason, ME)
    return http_messages.rejection(reason, ME, verdict)


LOST: typing.Final = (
    verdicts.Verdict.MAY_HAVE_RUN,
    verdicts.Reason.BACKEND_LOST,
)
TOO_LATE: typing.Final = (verdicts.Verdict.NOT_RUN, verdicts.Reason.TOO_LATE)
SHED: typing.Final = (verdicts.Verdict.NOT_RUN, verdicts.Reason.SHED)
SERVED: typing.Final = (verdicts.Verdict.RAN, verdicts.Reason.SERVED)

Outcome: typing.TypeAlias = tuple[verdicts.Verdict, verdicts.Reason]


class ScriptedRouter(router.Router):
    """A router whose attempts have the listed outcomes, in order."""

    def __init__(self, outcomes: collections.abc.Iterable[Outcome]) -> None:
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
        self.outcomes = list(outcomes)

    async def _attempt(self, progress: typing.Any) -> http_messages.Response:
        progress.attempts += 1
        progress.server_attempts += 1
        return make_response(*self.outcomes.pop(0))


def final_response(
    kind: route_table.RouteKind,
    outcomes: list[Outcome],
    keyed: bool = False,
    router_to_use: ScriptedRouter | None = None,
) -> http_messages.Response:
    """Return the response to a request after attempts with these outcomes.

    If ``router_to_use`` is given, it is used instead of a new router, with its
    own outcomes.
    """
    router_to_use = router_to_use or ScriptedRouter(outcomes)
    weighted_service = route_table.WeightedService(SHOP, 1.0)
    router_to_use.update_table(
        route_table.Table(
            ids.BundleVersion(1),
            (
                route_table.Route(
                    "r", "h", "/", kind, 0, 5.0, 1.0, 3, (weighted_service,)
                ),
            ),
            {SHOP: route_table.ServiceRules(SHOP, keyed, 10, "/health")},
            route_table.Limits(),
        )
    )
    request = buffered_app.BufferedRequest(
        ids.RequestId("1"), "GET", "h", "/a", "/a", (), 7, 5.0, b"", None
    )
    progress = router_to_use._match_route(request, router_to_use.clock.now())
    assert not isinstance(progress, http_messages.Response)
    return asyncio.run(router_to_use._run_attempts(progress))


@pytest.mark.parametrize(
    ("outcomes", "verdict", "status"),
    [
        ([SERVED], verdicts.Verdict.RAN, 200),
        ([TOO_LATE], verdicts.Verdict.NOT_RUN, 503),
        ([LOST, SERVED], verdicts.Verdict.RAN, 200),
        # The request may have run at the first server, whatever the second one
        # responds.
        ([LOST, TOO_LATE], verdicts.Verdict.MAY_HAVE_RUN, 502),
        ([LOST, SHED], verdicts.Verdict.MAY_HAVE_RUN, 502),
    ],
)
def test_verdict_is_correct_after_several_attempts(
    outcomes: list[Outcome], verdict: verdicts.Verdict, status: int
) -> None:
    response = final_response(route_table.RouteKind.IDEMPOTENT, outcomes)
    assert (response.verdict, response.status) == (verdict, status)


def test_request_that_may_have_run_is_not_sent_again_unless_idempotent() -> (
    None
):
    response = final_response(
        route_table.RouteKind.NOT_IDEMPOTENT, [LOST, SERVED]
    )
    assert response.verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("outcomes", "verdict"),
    [
        ([SHED, SERVED], verdicts.Verdict.RAN),
        ([SHED, SHED, SERVED], verdicts.Verdict.RAN),
        # The route allows three attempts.
        ([SHED, SHED, SHED, SERVED], verdicts.Verdict.NOT_RUN),
        # The queue is full: a retry would only add to it.
        ([TOO_LATE, SERVED], verdicts.Verdict.NOT_RUN),
    ],
)
def test_request_shed_by_the_owner_of_its_key_is_retried(
    outcomes: list[Outcome], verdict: verdicts.Verdict
) -> None:
    response = final_response(
        route_table.RouteKind.NOT_IDEMPOTENT, outcomes, keyed=True
    )
    assert response.verdict is verdict


@pytest.mark.parametrize(
    ("process_time_left_s", "verdict"),
    [
        (0.5, verdicts.Verdict.NOT_RUN),
        (5.0, verdicts.Verdict.RAN),
    ],
)
def test_request_that_would_outlast_the_process_is_not_started(
    process_time_left_s: float, verdict: verdicts.Verdict
) -> None:
    """Guards against a request cut off by the end of the process.

    The router did not check how much time the process had left: a request was
    cut off at its server 0.35 s after its arrival.
    """
    stopping_router = ScriptedRouter([SERVED])
    stopping_router.mean_latencies_s["r"] = 0.3
    stopping_router.process_end = process_end.ProcessEnd(
        ends_at=stopping_router.clock.now() + process_time_left_s
    )
    response = final_response(
        route_table.RouteKind.IDEMPOTENT, [], router_to_use=stopping_router
    )
    assert response.verdict is verdict
    assert bool(stopping_router.outcomes) is (
        verdict is verdicts.Verdict.NOT_RUN
    )
