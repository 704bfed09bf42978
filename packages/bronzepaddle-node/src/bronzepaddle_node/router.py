"""Brings a caller's request to a server that may run it, and its answer back.

Finds the route in the table in force, chooses the process beside a server of
the route's service (the one that holds the key, where there is one), and
sends the request there, at most one hop away.  A refusal that certainly did
not run is tried elsewhere; anything else only if the route allows to repeat
it, within its bound of servers and the budget of second sends.  One task for
each request, on the event loop.
"""

import asyncio
import collections.abc
import dataclasses
import random
import socket
import typing

from bronzepaddle import (
    averages,
    clocks,
    http_messages,
    ids,
    load_balancing,
    logs,
    retries,
    route_table,
    server_queue,
    verdicts,
)
from bronzepaddle_callers import buffered_app
from bronzepaddle_peers import stream_client, stream_messages

from bronzepaddle_node import (
    crash_detector,
    local_backend,
    peer_table,
    sidecar_metrics,
)

LATE_MARGIN_S: typing.Final = 0.02
"""Time kept from a request's deadline for the way of its answer."""

DEFAULT_TIME_S: typing.Final = 10.0
"""Deadline of a request whose caller names none."""

PLACE_PAUSE_S: typing.Final = 0.05
"""Pause before a key's owner is looked for again."""

SHED_PAUSE_S: typing.Final = 0.01
"""Pause before a server that refused a request is asked once more."""

PLACE_SHARE: typing.Final = 0.3
"""Share of a route's target time that may go into waiting for an owner."""

RETRY_AFTER_S: typing.Final = 0.5
"""Time in which a lost server or key usually has another place."""


@dataclasses.dataclass
class _Progress:
    """One request on its way; ``deadline`` by this process's clock.

    ``reached`` counts the servers that may have begun it, ``tried`` names
    the processes that refused it, ``place_until`` ends the wait for an
    owner of its key.
    """

    arrival: buffered_app.BufferedRequest
    route: route_table.Route
    service: ids.ServiceName
    deadline: float
    place_until: float
    keyed: bool
    late: bool
    tries: int = 0
    reached: int = 0
    tried: set[ids.MemberId] = dataclasses.field(default_factory=set)
    sends: list[logs.Attempt] = dataclasses.field(default_factory=list)


class Router:
    """The callers' side of one process."""

    def __init__(
        self,
        name: ids.MemberId,
        caller_service: ids.ServiceName,
        known: peer_table.PeerTable,
        local: local_backend.LocalBackend,
        peers: stream_client.Client,
        budgets: retries.RetryBudgets,
        meters: sidecar_metrics.SidecarMetrics,
        time: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.caller_service = caller_service
        self.peer_table = known
        self.local = local
        self.peers = peers
        self.budgets = budgets
        self.meters = meters
        self.time = time
        self.rng = rng
        self.table: route_table.Table | None = None
        self.splitter = route_table.TrafficSplitter()
        self.in_flight = 0
        # The most time that a request of each route had left.
        self.longest_s: dict[str, float] = {}
        # The mean time of answers here, by route, and when this process
        # ends, whatever still runs.
        self.means_s: dict[str, float] = {}
        self.process_ends_at = float("inf")

    def update_table(self, table: route_table.Table) -> None:
        """Route by a new table from now on."""
        self.table = table
        names = {route.name for route in table.routes}
        for by_route in (self.longest_s, self.means_s):
            for name in by_route.keys() - names:
                del by_route[name]

    async def serve(
        self, arrival: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Return the answer to one request, in its time."""
        self.in_flight += 1
        try:
            return await self._until_hung_up(arrival)
        finally:
            self.in_flight -= 1

    async def _until_hung_up(
        self, arrival: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Serve a request; give it up when the caller closes."""
        began = self.time.now()
        serving_it = asyncio.ensure_future(self._serve(arrival))
        watch = _HangUp(arrival.socket, serving_it.cancel)
        try:
            return await serving_it
        except asyncio.CancelledError:
            if not watch.happened:
                raise
            logs.given_up(arrival.request_id, self.time.now() - began)
            return self._refuse(
                verdicts.Reason.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN
            )
        finally:
            watch.end()

    async def _serve(
        self, arrival: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        began = self.time.now()
        progress = self._begin(arrival, began)
        match progress:
            case http_messages.Response():
                logs.unroutable(
                    arrival.request_id, arrival.host, arrival.path, progress
                )
                return progress
            case _Progress():
                answer = await self._until_done(progress)
                self._report(progress, answer, self.time.now() - began)
                return answer
            case _:
                typing.assert_never(progress)

    def _report(
        self,
        progress: _Progress,
        answer: http_messages.Response,
        took_s: float,
    ) -> None:
        """Log and count what came of a request."""
        route = progress.route
        if answer.reason is verdicts.Reason.SERVED:
            self.means_s[route.name] = averages.update_ewma(
                self.means_s.get(route.name), took_s, server_queue.MEAN_WEIGHT
            )
        logs.request_finished(
            progress.arrival.request_id,
            route.name,
            progress.service,
            progress.arrival.key if progress.keyed else None,
            answer,
            progress.sends,
            ids.BundleVersion(0) if self.table is None else self.table.version,
            took_s,
        )
        self.meters.record_response(
            progress.service, route.rank, answer, len(progress.sends), took_s
        )

    def _begin(
        self, arrival: buffered_app.BufferedRequest, began: float
    ) -> _Progress | http_messages.Response:
        """Return the request with its route, or why it has none."""
        table = self.table
        if table is None:
            return self._refuse(
                verdicts.Reason.NO_BUNDLE, retry_after_s=RETRY_AFTER_S
            )
        route = route_table.find_route(table, arrival.host, arrival.path)
        if route is None:
            return self._refuse(verdicts.Reason.UNKNOWN_NAME)
        service = self.splitter.pick(table, route)
        if service is None:
            return self._refuse(verdicts.Reason.NO_BACKEND)
        rules = table.services.get(service)
        keyed = rules is not None and rules.keyed
        if keyed and not 0 <= arrival.key < route_table.KEY_COUNT:
            return self._refuse(verdicts.Reason.NO_KEY)
        left_s = min(arrival.time_left_s or DEFAULT_TIME_S, route.timeout_s)
        self.budgets.earn(service)
        return _Progress(
            arrival=arrival,
            route=route,
            service=service,
            deadline=began + left_s - LATE_MARGIN_S,
            place_until=began + PLACE_SHARE * min(route.target_s, left_s),
            keyed=keyed,
            late=self._late(arrival, route),
        )

    def _late(
        self, arrival: buffered_app.BufferedRequest, route: route_table.Route
    ) -> bool:
        """Tell whether a request has come back after its target time.

        A caller that comes back has less time left than it had at first;
        the longest time seen on a route is taken for that.
        """
        left_s = arrival.time_left_s
        if left_s is None:
            return False
        longest_s = max(self.longest_s.get(route.name, 0.0), left_s)
        self.longest_s[route.name] = longest_s
        return longest_s - left_s > route.target_s

    def _ends_before(self, route: route_table.Route) -> bool:
        """Tell whether this process may end before a request is answered."""
        mean_s = self.means_s.get(route.name, 0.0)
        return (
            self.time.now() + local_backend.END_SPREAD * mean_s
            > self.process_ends_at
        )

    async def _until_done(self, progress: _Progress) -> http_messages.Response:
        """Try until there is an answer or no try is left.

        A try that may have run is not undone by a refusal of a later one.
        Nothing is begun that the end of this process would cut off.
        """
        if self._ends_before(progress.route):
            return self._refuse(
                verdicts.Reason.DRAINING, retry_after_s=RETRY_AFTER_S
            )
        uncertain: http_messages.Response | None = None
        while True:
            answer = await self._try(progress)
            if answer.verdict is verdicts.Verdict.MAY_HAVE_RUN:
                uncertain = answer
            pause_s = self._pause(progress, answer)
            if pause_s is None:
                refused = answer.verdict is verdicts.Verdict.NOT_RUN
                return uncertain if refused and uncertain else answer
            await self.time.sleep(pause_s)

    def _pause(
        self, progress: _Progress, answer: http_messages.Response
    ) -> float | None:
        """Return the pause before another try, None for no other."""
        now = self.time.now()
        match answer.verdict:
            case verdicts.Verdict.RAN:
                return None
            case verdicts.Verdict.MAY_HAVE_RUN:
                again = (
                    progress.route.idempotent
                    and progress.reached < progress.route.max_attempts
                    and answer.reason is not verdicts.Reason.DEADLINE
                    and now < progress.deadline
                )
                if again and self.budgets.spend(progress.service):
                    return 0.0
                return None
            case verdicts.Verdict.NOT_RUN:
                return self._pause_not_run(progress, answer, now)
            case never:
                typing.assert_never(never)

    def _pause_not_run(
        self, progress: _Progress, answer: http_messages.Response, now: float
    ) -> float | None:
        """Return the pause before a request that did not run is tried again.

        Where a key moves, its next owner is waited for a while; a server
        with no room is passed over for another that may have some.
        """
        if answer.reason is verdicts.Reason.SUSPECT:
            return None
        if answer.reason in _PLACE_REASONS and progress.keyed:
            if now + PLACE_PAUSE_S > progress.place_until:
                return None
            progress.tried.clear()
            return PLACE_PAUSE_S
        if progress.keyed:
            return self._pause_at_owner(progress, answer)
        others = self.peer_table.eligible_peers(
            progress.service, now, progress.tried
        )
        if not others or progress.tries > progress.route.max_attempts + 1:
            return None
        if answer.reason is verdicts.Reason.SHED:
            # It did reach a server, so another send is a second one.
            return 0.0 if self.budgets.spend(progress.service) else None
        return 0.0

    def _pause_at_owner(
        self, progress: _Progress, answer: http_messages.Response
    ) -> float | None:
        """Return the pause before the one server of a key is asked again.

        Only where the server itself refused, at once: one that fails part
        of its requests takes the next.  A full line here is no such case.
        """
        shed = answer.reason is verdicts.Reason.SHED
        again = shed and progress.reached < progress.route.max_attempts
        if again and self.budgets.spend(progress.service):
            progress.tried.clear()
            return SHED_PAUSE_S
        return None

    async def _try(self, progress: _Progress) -> http_messages.Response:
        """Send a request to the process chosen for it, once."""
        now = self.time.now()
        progress.tries += 1
        left_s = progress.deadline - now
        if left_s <= 0:
            return self._refuse(verdicts.Reason.TOO_LATE)
        arrival = progress.arrival
        if self.local.crashes.refuses(
            progress.service, arrival.method, arrival.target, arrival.body
        ):
            return self._refuse(
                verdicts.Reason.SUSPECT, retry_after_s=crash_detector.REFUSE_S
            )
        peer = self._choose(progress, now)
        if peer is None:
            why = (
                verdicts.Reason.NO_OWNER
                if progress.keyed
                else verdicts.Reason.NO_BACKEND
            )
            return self._refuse(why, retry_after_s=RETRY_AFTER_S)
        member = peer.status.sender
        progress.tried.add(member)
        heard_ago_s, load = now - peer.status_received_at, peer.load()
        answer = await self._send(peer, self._ask(progress, peer, left_s))
        progress.sends.append(
            logs.Attempt(
                member,
                peer.status.run,
                load,
                round(heard_ago_s, 3),
                answer.verdict.value,
                answer.reason.value,
                round(self.time.now() - now, 4),
            )
        )
        if (
            answer.verdict is not verdicts.Verdict.NOT_RUN
            or answer.reason is verdicts.Reason.SHED
        ):
            progress.reached += 1
        return answer

    def _choose(
        self, progress: _Progress, now: float
    ) -> peer_table.Peer | None:
        if progress.keyed:
            return self.peer_table.owner_of(
                progress.service, progress.arrival.key, now
            )
        able = self.peer_table.eligible_peers(
            progress.service, now, progress.tried
        )
        chosen = load_balancing.choose_server(
            [self.peer_table.candidate(peer) for peer in able], self.rng
        )
        return None if chosen is None else self.peer_table.peers[chosen]

    def _ask(
        self, progress: _Progress, peer: peer_table.Peer, left_s: float
    ) -> stream_messages.ForwardedRequest:
        arrival, route = progress.arrival, progress.route
        return stream_messages.ForwardedRequest(
            number=self.peers.next_number(),
            request_id=arrival.request_id,
            caller_service=self.caller_service,
            service=progress.service,
            route=route.name,
            run=peer.status.run,
            method=arrival.method,
            target=arrival.target,
            headers=arrival.headers,
            key=arrival.key if progress.keyed else buffered_app.NO_KEY,
            rank=route.rank,
            idempotent=route.idempotent,
            time_left_s=left_s,
            target_s=route.target_s,
            late=progress.late,
            body=arrival.body,
        )

    async def _send(
        self, peer: peer_table.Peer, ask: stream_messages.ForwardedRequest
    ) -> http_messages.Response:
        """Serve here or send to a peer; ends by the deadline."""
        member = peer.status.sender
        peer.sent += 1
        reply = stream_client.Reply(
            self._refuse(
                verdicts.Reason.DEADLINE, verdicts.Verdict.MAY_HAVE_RUN
            ),
            has_load=False,
        )
        timed_out = False
        try:
            async with asyncio.timeout(ask.time_left_s):
                if member == self.name:
                    reply = await self.local.handle(ask)
                else:
                    reply = await self.peers.send(
                        member, peer.status.address, ask
                    )
        except TimeoutError:
            timed_out = True
        finally:
            if timed_out or reply.response.reason is verdicts.Reason.DEADLINE:
                peer.sent -= 1
            else:
                self.peer_table.record_reply(peer, reply, self.time.now())
        return reply.response

    def _refuse(
        self,
        why: verdicts.Reason,
        ran: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> http_messages.Response:
        return http_messages.refusal(why, self.name, ran, retry_after_s)


_PLACE_REASONS: typing.Final = frozenset(
    {
        verdicts.Reason.NO_OWNER,
        verdicts.Reason.NOT_OWNER,
        verdicts.Reason.NO_BACKEND,
        verdicts.Reason.NOT_GRANTED,
        verdicts.Reason.DRAINING,
        verdicts.Reason.PEER_UNREACHABLE,
        verdicts.Reason.SERVER_ENDED,
    }
)
"""Refusals that end when a key has its next owner."""


class _HangUp:
    """Watches a caller's connection while its request is served."""

    def __init__(
        self,
        connection: socket.socket | None,
        give_up: collections.abc.Callable[[], object],
    ) -> None:
        self.give_up = give_up
        self.happened = False
        self.loop = asyncio.get_running_loop()
        self.connection = connection
        if connection is not None:
            self.loop.add_reader(connection.fileno(), self._readable)

    def _readable(self) -> None:
        """Tell a close from the next request on the connection."""
        connection = self.connection
        if connection is None:
            return
        try:
            found = connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            found = b""
        self.end()
        if not found:
            self.happened = True
            self.give_up()

    def end(self) -> None:
        """Watch no longer."""
        if self.connection is not None:
            self.loop.remove_reader(self.connection.fileno())
            self.connection = None
