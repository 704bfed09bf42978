"""Routes callers' requests to backend servers and retries failed attempts.

The router finds the route of a request in the current route table and chooses
a process (a peer) whose backend server belongs to the route's service.  If the
service is keyed, only the server that holds the key of the request may serve
it, so the process on the VM of that server is chosen.  The router sends the
request to the process, at most one hop away.

A request that certainly did not run may be retried: one with a key at the
owner of the key, any other at another server.  One that may have run is
retried only if its route is idempotent, up to the route's maximum number of
attempts and within the retry budget.  Each request is served by a task of its
own on the event loop.
"""

import asyncio
import dataclasses
import random
import typing

from bronzepaddle import (
    averages,
    clocks,
    http_messages,
    ids,
    logs,
    route_table,
    status,
    verdicts,
)
from bronzepaddle.load import (
    body_budget,
    load_balancing,
    response_room,
    retries,
    server_queue,
)
from bronzepaddle_callers import buffered_app
from bronzepaddle_peers import stream_client, stream_messages

from bronzepaddle_node import (
    crash_detector,
    local_backend,
    peer_table,
    process_end,
    sidecar_metrics,
)
from bronzepaddle_node.requests import (
    disconnects,
    relative_costs,
    route_explanation,
)

RESPONSE_MARGIN_S: typing.Final = 0.02
"""Time reserved for returning a response before its deadline."""

DEFAULT_TIMEOUT_S: typing.Final = 10.0
"""Time for a request whose caller sets no deadline."""

OWNER_LOOKUP_PAUSE_S: typing.Final = 0.05
"""Pause before the owner of a key is looked up again."""

SHED_RETRY_PAUSE_S: typing.Final = 0.01
"""Pause before a request is sent again to the server that shed it."""

OWNER_WAIT_SHARE: typing.Final = 0.3
"""Share of the target latency that a request may wait for its key's owner."""

RETRY_AFTER_S: typing.Final = 0.5
"""Retry-After of rejections for lack of a server, an owner or a configuration.

A lost server or owner of a key is usually replaced within this time.
"""


@dataclasses.dataclass
class _Progress:
    """The state of one request while it is routed.

    ``deadline`` and ``owner_wait_until``, the end of the wait for an owner of
    the key, are times on this process's clock.  ``late`` is set if the request
    is a retry that the caller made after the target latency of the route.
    ``attempts`` counts all attempts, even those that ended before the request
    was sent, and ``server_attempts`` those that may have reached a backend
    server, even if it shed the request.  ``tried_members`` are the processes
    that are not chosen again.  ``sent_attempts`` are the attempts that were
    sent to a process, for the log.  ``cost`` is what the request is expected
    to cost.
    """

    request: buffered_app.BufferedRequest
    route: route_table.Route
    service: ids.ServiceName
    deadline: float
    owner_wait_until: float
    keyed: bool
    late: bool
    cost: relative_costs.Cost
    attempts: int = 0
    server_attempts: int = 0
    tried_members: set[ids.MemberId] = dataclasses.field(default_factory=set)
    sent_attempts: list[logs.Attempt] = dataclasses.field(default_factory=list)


class Router:
    """Routes the requests of callers; for the event loop only."""

    def __init__(
        self,
        name: ids.MemberId,
        caller_service: ids.ServiceName,
        known_peers: peer_table.PeerTable,
        backend: local_backend.LocalBackend,
        peer_streams: stream_client.Client,
        retry_budgets: retries.RetryBudgets,
        metrics_recorder: sidecar_metrics.SidecarMetrics,
        clock: clocks.Clock,
        rng: random.Random,
        costs: relative_costs.RelativeCosts | None = None,
        room: response_room.ResponseRoom | None = None,
    ) -> None:
        self.name = name
        self.caller_service = caller_service
        self.peer_table = known_peers
        self.local_backend = backend
        self.peer_streams = peer_streams
        self.retry_budgets = retry_budgets
        self.metrics_recorder = metrics_recorder
        self.clock = clock
        self.rng = rng
        self.costs = costs or relative_costs.RelativeCosts()
        self.response_room = room or response_room.ResponseRoom(
            body_budget.BodyBudget()
        )
        self.route_table: route_table.Table | None = None
        self.traffic_splitter = route_table.TrafficSplitter()
        # By route: the longest time that a request had on arrival until its
        # deadline.
        self.max_time_left_s: dict[str, float] = {}
        # By route: the mean latency of the served requests.
        self.mean_latencies_s: dict[str, float] = {}
        self.process_end = process_end.NEVER
        self.hangups = disconnects.Hangups()

    def update_table(self, table: route_table.Table) -> None:
        """Route by a new table; forget the times of routes not in it."""
        self.route_table = table
        route_names = {route.name for route in table.routes}
        for times_by_route in (self.max_time_left_s, self.mean_latencies_s):
            for name in times_by_route.keys() - route_names:
                del times_by_route[name]
        self.response_room.forget_all_but(route_names)

    def _config_version(self) -> ids.BundleVersion:
        """Return the version by which requests are routed, 0 if none."""
        if self.route_table is None:
            return ids.BundleVersion(0)
        return self.route_table.version

    def explain(
        self, question: status.RouteQuestion
    ) -> status.RouteExplanation:
        """Return where a request would be sent now, without sending it."""
        return route_explanation.explain(
            question,
            route_explanation.Known(
                self.route_table,
                self.peer_table,
                self.costs,
                self.caller_service,
                self.clock.now(),
            ),
        )

    async def serve(
        self, request: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Return the response to one request by its deadline.

        Cancels the request if its caller disconnects.
        """
        started_at = self.clock.now()
        serving = asyncio.ensure_future(self._serve(request))
        disconnect_watcher = disconnects.DisconnectWatcher(
            request.caller_socket, serving.cancel, self.hangups
        )
        try:
            return await serving
        except asyncio.CancelledError:
            if not disconnect_watcher.disconnected:
                raise
            logs.given_up(request.request_id, self.clock.now() - started_at)
            return self._reject(
                verdicts.Reason.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN
            )
        finally:
            disconnect_watcher.stop()

    async def _serve(
        self, request: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Serve a request and log its outcome."""
        started_at = self.clock.now()
        progress = self._match_route(request, started_at)
        match progress:
            case http_messages.Response():
                logs.unroutable(
                    request.request_id,
                    request.host,
                    request.path,
                    self._config_version(),
                    progress,
                )
                return progress
            case _Progress():
                response = await self._run_attempts(progress)
                self._record_outcome(
                    progress, response, self.clock.now() - started_at
                )
                return response
            case _:
                typing.assert_never(progress)

    def _record_outcome(
        self,
        progress: _Progress,
        response: http_messages.Response,
        took_s: float,
    ) -> None:
        """Log the outcome of a request and update the metrics."""
        route = progress.route
        if response.reason is verdicts.Reason.SERVED:
            self.mean_latencies_s[route.name] = averages.update_ewma(
                self.mean_latencies_s.get(route.name),
                took_s,
                server_queue.MEAN_WEIGHT,
            )
        self.response_room.record_response(route.name, response)
        logs.request_finished(
            progress.request.request_id,
            route.name,
            progress.service,
            progress.request.key if progress.keyed else None,
            response,
            progress.sent_attempts,
            ids.BundleVersion(0)
            if self.route_table is None
            else self.route_table.version,
            took_s,
        )
        self.metrics_recorder.record_response(
            progress.service,
            route.rank,
            response,
            len(progress.sent_attempts),
            took_s,
        )

    def _match_route(
        self, request: buffered_app.BufferedRequest, started_at: float
    ) -> _Progress | http_messages.Response:
        """Find the route and the service of a request, or reject it."""
        table = self.route_table
        if table is None:
            return self._reject(
                verdicts.Reason.NO_BUNDLE, retry_after_s=RETRY_AFTER_S
            )
        route = route_table.find_route(table, request.host, request.path)
        if route is None:
            return self._reject(verdicts.Reason.UNKNOWN_NAME)
        service = self.traffic_splitter.pick(table, route)
        if service is None:
            return self._reject(verdicts.Reason.NO_BACKEND)
        service_rules = table.services.get(service)
        keyed = service_rules is not None and service_rules.keyed
        if keyed and not 0 <= request.key < route_table.KEY_COUNT:
            return self._reject(verdicts.Reason.NO_KEY)
        time_left_s = min(
            request.time_left_s or DEFAULT_TIMEOUT_S, route.timeout_s
        )
        self.retry_budgets.earn(service)
        return _Progress(
            request=request,
            route=route,
            service=service,
            deadline=started_at + time_left_s - RESPONSE_MARGIN_S,
            owner_wait_until=started_at
            + OWNER_WAIT_SHARE * min(route.target_s, time_left_s),
            keyed=keyed,
            late=self._is_late_retry(request, route),
            cost=self.costs.expected(
                relative_costs.Request(
                    service,
                    route.name,
                    request.method,
                    request.target,
                    len(request.body),
                    request.key if keyed else buffered_app.NO_KEY,
                    self.caller_service,
                ),
                started_at,
            ),
        )

    def _is_late_retry(
        self, request: buffered_app.BufferedRequest, route: route_table.Route
    ) -> bool:
        """Return whether a request is a retry after its target latency.

        A caller that retries has less time left than at its first attempt.
        The time left at the first attempt is not known; it is assumed to be
        the longest one seen on the route.
        """
        time_left_s = request.time_left_s
        if time_left_s is None:
            return False
        max_time_left_s = max(
            self.max_time_left_s.get(route.name, 0.0), time_left_s
        )
        self.max_time_left_s[route.name] = max_time_left_s
        return max_time_left_s - time_left_s > route.target_s

    def _may_begin(self, progress: _Progress) -> bool:
        """Return whether a request may be begun before this process ends."""
        now = self.clock.now()
        mean_s = self.mean_latencies_s.get(progress.route.name, 0.0)
        time_left_s = progress.deadline + RESPONSE_MARGIN_S - now
        return self.process_end.may_begin(now, mean_s, time_left_s)

    async def _run_attempts(
        self, progress: _Progress
    ) -> http_messages.Response:
        """Make attempts until one is final; return the response.

        If an attempt may have run and a later one is rejected, the response
        to the former is returned, because the rejection would say that the
        request did not run.  No request is started that the end of this
        process would cut off.
        """
        if not self._may_begin(progress):
            left_s = self.process_end.ends_at - self.clock.now()
            return self._reject(
                verdicts.Reason.DRAINING,
                retry_after_s=max(RETRY_AFTER_S, left_s),
            )
        if not self.response_room.has_room(progress.route.name):
            return self._reject(
                verdicts.Reason.MEMORY_FULL,
                retry_after_s=body_budget.RETRY_AFTER_S,
            )
        may_have_run: http_messages.Response | None = None
        while True:
            response = await self._attempt(progress)
            if response.verdict is verdicts.Verdict.MAY_HAVE_RUN:
                may_have_run = response
            pause_s = self._pause_before_retry_s(progress, response)
            if pause_s is None:
                not_run = response.verdict is verdicts.Verdict.NOT_RUN
                return may_have_run if not_run and may_have_run else response
            await self.clock.sleep(pause_s)

    def _pause_before_retry_s(
        self, progress: _Progress, response: http_messages.Response
    ) -> float | None:
        """Return the seconds until the next attempt, or None for no retry."""
        now = self.clock.now()
        match response.verdict:
            case verdicts.Verdict.RAN:
                return None
            case verdicts.Verdict.MAY_HAVE_RUN:
                may_retry = (
                    progress.route.idempotent
                    and progress.server_attempts < progress.route.max_attempts
                    and response.reason is not verdicts.Reason.DEADLINE
                    and now < progress.deadline
                )
                if may_retry and self.retry_budgets.spend(progress.service):
                    return 0.0
                return None
            case verdicts.Verdict.NOT_RUN:
                return self._pause_after_not_run_s(progress, response, now)
            case never:
                typing.assert_never(never)

    def _pause_after_not_run_s(
        self, progress: _Progress, response: http_messages.Response, now: float
    ) -> float | None:
        """Return the seconds until a request that did not run is retried.

        Returns None if it is not retried.

        While a key has no owner that can serve it, the next owner is waited
        for until ``owner_wait_until``.  A request without a key goes to
        another server, which may have free capacity.
        """
        if response.reason is verdicts.Reason.SUSPECT:
            return None
        if response.reason in _OWNER_UNAVAILABLE_REASONS and progress.keyed:
            if now + OWNER_LOOKUP_PAUSE_S > progress.owner_wait_until:
                return None
            progress.tried_members.clear()
            return OWNER_LOOKUP_PAUSE_S
        if progress.keyed:
            return self._pause_before_retry_at_owner_s(progress, response)
        eligible = self.peer_table.eligible_peers(
            progress.service, now, progress.tried_members
        )
        if not eligible or progress.attempts > progress.route.max_attempts + 1:
            return None
        if response.reason is verdicts.Reason.SHED:
            # The request reached a server, so a retry uses the budget.
            return 0.0 if self.retry_budgets.spend(progress.service) else None
        return 0.0

    def _pause_before_retry_at_owner_s(
        self, progress: _Progress, response: http_messages.Response
    ) -> float | None:
        """Return the seconds until a request is sent to the same owner again.

        Returns None unless the server itself shed the request: a server that
        sheds some of its requests may accept the next.  If its queue is full,
        a retry would only add to the load.
        """
        shed = response.reason is verdicts.Reason.SHED
        may_retry = (
            shed and progress.server_attempts < progress.route.max_attempts
        )
        if may_retry and self.retry_budgets.spend(progress.service):
            progress.tried_members.clear()
            return SHED_RETRY_PAUSE_S
        return None

    async def _attempt(self, progress: _Progress) -> http_messages.Response:
        """Make one attempt: choose a process and send the request to it."""
        now = self.clock.now()
        progress.attempts += 1
        time_left_s = progress.deadline - now
        if time_left_s <= 0:
            return self._reject(
                verdicts.Reason.TOO_LATE, retry_after_s=RETRY_AFTER_S
            )
        request = progress.request
        if self.local_backend.crash_detector.rejects(
            progress.service, request.method, request.target, request.body
        ):
            return self._reject(
                verdicts.Reason.SUSPECT,
                retry_after_s=crash_detector.REJECTION_S,
            )
        peer = self._choose_peer(progress, now)
        if peer is None:
            reason = (
                verdicts.Reason.NO_OWNER
                if progress.keyed
                else verdicts.Reason.NO_BACKEND
            )
            return self._reject(reason, retry_after_s=RETRY_AFTER_S)
        member = peer.status.sender
        progress.tried_members.add(member)
        heard_ago_s, load = now - peer.status_received_at, peer.load()
        backlog_s, service_s = peer.backlog_s, peer.service_s
        reply = await self._send(
            peer, self._forwarded_request(progress, peer, time_left_s)
        )
        response = reply.response
        self.costs.record(
            progress.cost, reply.run_s, service_s, self.clock.now()
        )
        progress.sent_attempts.append(
            logs.Attempt(
                member,
                peer.status.run,
                load,
                round(heard_ago_s, 3),
                response.verdict.value,
                response.reason.value,
                round(self.clock.now() - now, 4),
                round(backlog_s, 4),
                round(progress.cost.relative * service_s, 4),
            )
        )
        if (
            response.verdict is not verdicts.Verdict.NOT_RUN
            or response.reason is verdicts.Reason.SHED
        ):
            progress.server_attempts += 1
        return response

    def _choose_peer(
        self, progress: _Progress, now: float
    ) -> peer_table.Peer | None:
        """Return the owner of the key, or a lightly loaded peer if unkeyed."""
        if progress.keyed:
            return self.peer_table.owner_of(
                progress.service, progress.request.key, now
            )
        eligible = self.peer_table.eligible_peers(
            progress.service, now, progress.tried_members
        )
        chosen = load_balancing.choose_server(
            [
                self.peer_table.candidate(peer)
                for peer in load_balancing.to_compare(
                    eligible, self.rng, peer_table.sample_weight
                )
            ],
            self.rng,
            progress.cost.relative,
        )
        return None if chosen is None else self.peer_table.peers[chosen]

    def _forwarded_request(
        self, progress: _Progress, peer: peer_table.Peer, time_left_s: float
    ) -> stream_messages.ForwardedRequest:
        """Return the message that forwards a request to a peer."""
        request, route = progress.request, progress.route
        return stream_messages.ForwardedRequest(
            number=self.peer_streams.next_number(),
            request_id=request.request_id,
            caller_service=self.caller_service,
            service=progress.service,
            route=route.name,
            run=peer.status.run,
            method=request.method,
            target=request.target,
            headers=request.headers,
            key=request.key if progress.keyed else buffered_app.NO_KEY,
            rank=route.rank,
            idempotent=route.idempotent,
            time_left_s=time_left_s,
            target_s=route.target_s,
            late=progress.late,
            # Streams and servers are sent any buffer.
            body=typing.cast(bytes, request.body),
            relative_cost=progress.cost.relative,
        )

    async def _send(
        self,
        peer: peer_table.Peer,
        forwarded: stream_messages.ForwardedRequest,
    ) -> stream_client.Reply:
        """Serve a request here or send it to a peer, until its deadline.

        The peer's load and availability are updated by the reply, but not if
        the deadline is missed or the request cancelled.
        """
        member = peer.status.sender
        peer.in_flight += 1
        # Returned unless a reply arrives before the deadline.
        reply = stream_client.Reply(
            self._reject(
                verdicts.Reason.DEADLINE, verdicts.Verdict.MAY_HAVE_RUN
            ),
            has_load=False,
        )
        timed_out = False
        try:
            if member == self.name:
                reply = await self.local_backend.handle(
                    forwarded, forwarded.time_left_s
                )
            else:
                # Knows at the deadline whether the request was written.
                reply = await self.peer_streams.send(
                    member,
                    peer.status.address,
                    forwarded,
                    peer.status.takes_parts,
                )
        except TimeoutError:
            timed_out = True
        finally:
            if timed_out or reply.response.reason is verdicts.Reason.DEADLINE:
                peer.in_flight -= 1
            else:
                self.peer_table.record_reply(peer, reply, self.clock.now())
        return reply

    def _reject(
        self,
        reason: verdicts.Reason,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> http_messages.Response:
        """Return a rejection by this process."""
        return http_messages.rejection(
            reason, self.name, verdict, retry_after_s
        )


_OWNER_UNAVAILABLE_REASONS: typing.Final = frozenset(
    {
        verdicts.Reason.NO_OWNER,
        verdicts.Reason.NOT_OWNER,
        verdicts.Reason.NO_BACKEND,
        verdicts.Reason.NO_BUNDLE,
        verdicts.Reason.NOT_GRANTED,
        verdicts.Reason.DRAINING,
        verdicts.Reason.PEER_UNREACHABLE,
        verdicts.Reason.SERVER_ENDED,
    }
)
"""Reasons of rejections that end once the key has an owner that serves it."""
