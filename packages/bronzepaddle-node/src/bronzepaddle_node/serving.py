"""Serves requests by the backend server beside this process.

Each request is admitted by its rank, then sent on a worker thread.  Whoever
asked may cancel: the connection to the server is then closed, so that the
server stops too.  For the event loop only.
"""

import asyncio
import collections.abc
import concurrent.futures
import typing

from bronzepaddle import (
    admission,
    answers,
    bundles,
    clocks,
    ids,
    routes,
    verdicts,
)
from bronzepaddle_backend import connections, servers
from bronzepaddle_peers import exchanges, streams

from bronzepaddle_node import keys

SERVICE_WEIGHT: typing.Final = 0.1
"""Weight of the newest service time in the running mean."""

DRAIN_START_S: typing.Final = 1.0
"""Time after a server's leaving for which admitted requests still start."""

QUEUE_PER_SLOT: typing.Final = 4
"""Requests of one rank that may wait for each slot of the server."""

MOVING_RETRY_S: typing.Final = 0.1


class Server:
    """One run of the backend server, with what leads to it."""

    def __init__(
        self,
        said: servers.Announcement,
        links: connections.Connections,
        admitting: admission.Admission,
    ) -> None:
        self.said = said
        self.links = links
        self.admitting = admitting
        self.service_s = 0.0


def priorities(
    ranks: collections.abc.Sequence[int], slots: int
) -> list[bundles.Priority]:
    """Return the rules of admission for the ranks of a route table.

    The most urgent goes first; nothing is guaranteed to the others, as a
    route's rank says no more than the order.
    """
    return [
        bundles.Priority(
            name=priority_name(rank),
            rank=rank,
            share=0.0,
            ceiling=1.0,
            queue=slots * QUEUE_PER_SLOT,
            deadline_s=0.0,
        )
        for rank in ranks or (0,)
    ]


def priority_name(rank: int) -> ids.PriorityName:
    """Return the name under which a rank is admitted."""
    return ids.PriorityName(f"rank-{rank}")


class Serving:
    """The server beside this process and the requests that it works on."""

    def __init__(
        self,
        name: ids.MemberId,
        wire: connections.Wire,
        tracker: servers.Tracker,
        held: keys.HeldKeys,
        workers: concurrent.futures.Executor,
        time: clocks.Clock,
        lost: collections.abc.Callable[[], None],
    ) -> None:
        self.name = name
        self.lost = lost
        self.wire = wire
        self.tracker = tracker
        self.held = held
        self.workers = workers
        self.time = time
        self.server: Server | None = None
        self.table: routes.Table | None = None
        self.in_flight = 0

    def announced(self, said: servers.Announcement) -> None:
        """Take the newest announcement in; a new run gets a new queue."""
        known = self.server
        if known is not None and known.said.run == said.run:
            known.said = said
            return
        if known is not None:
            known.links.close()
        links = connections.Connections(
            self.name, said.host, said.port, self.wire, self.time.now
        )
        ranks = () if self.table is None else self.table.ranks
        self.server = Server(
            said,
            links,
            admission.Admission(
                priorities(ranks, said.slots), said.slots, self.time.now()
            ),
        )
        self.held.run_changed(said.run)

    def learn_table(self, table: routes.Table) -> None:
        """Take a new route table in."""
        self.table = table
        if self.server is not None:
            self.server.admitting.configure(
                priorities(table.ranks, self.server.said.slots)
            )

    def outstanding(self) -> int:
        """Return how many requests wait or run."""
        return 0 if self.server is None else self.in_flight

    async def handle(self, ask: exchanges.Ask) -> streams.Reply:
        """Return the reply to one request of a peer, or of this process."""
        answer = await self._answer(ask)
        service_s = 0.0 if self.server is None else self.server.service_s
        return streams.Reply(answer, self.outstanding(), service_s, True)

    async def _answer(self, ask: exchanges.Ask) -> answers.Answer:
        server = self.server
        why = self._unfit(server, ask)
        if why is not None or server is None:
            return self._refuse(
                why or verdicts.Reason.NO_BACKEND, MOVING_RETRY_S
            )
        deadline = self.time.now() + ask.time_left_s
        ticket = server.admitting.ask(
            priority_name(ask.rank),
            ask.caller_service,
            deadline - server.service_s / 2,
            self.time.now(),
        )
        self.in_flight += 1
        try:
            refusal = await self._admitted(ticket, deadline)
            if refusal is not None:
                return refusal
            why = self._unfit(server, ask, DRAIN_START_S)
            if why is not None:
                return self._refuse(why, MOVING_RETRY_S)
            return await self._send(server, ticket, ask, deadline)
        finally:
            self.in_flight -= 1
            if not ticket.sent:
                server.admitting.withdraw(ticket, self.time.now())

    async def _admitted(
        self, ticket: admission.Ticket, deadline: float
    ) -> answers.Answer | None:
        """Wait for a slot; return the refusal if there will be none."""
        if not ticket.decision.done():
            waiting = asyncio.wrap_future(ticket.decision)
            left_s = max(0.0, deadline - self.time.now())
            try:
                async with asyncio.timeout(left_s):
                    await asyncio.shield(waiting)
            except TimeoutError:
                return self._refuse(verdicts.Reason.TOO_LATE)
        match ticket.decision.result():
            case admission.TurnedAway(reason, retry_after_s):
                return self._refuse(reason, retry_after_s)
            case admission.Admitted():
                return None
            case never:
                typing.assert_never(never)

    async def _send(
        self,
        server: Server,
        ticket: admission.Ticket,
        ask: exchanges.Ask,
        deadline: float,
    ) -> answers.Answer:
        """Send to the server; a cancelled request closes its connection."""
        outgoing = connections.Outgoing(
            request_id=ask.request_id,
            caller_service=ask.caller_service,
            run_id=server.said.server_id,
            method=ask.method,
            target=ask.target,
            headers=ask.headers,
            body=ask.body,
            deadline=deadline,
            idempotent=ask.idempotent,
        )
        cancellation = connections.Cancellation()
        began = self.time.now()
        ticket.sent = True
        running = asyncio.get_running_loop().run_in_executor(
            self.workers, server.links.send, outgoing, cancellation
        )
        running.add_done_callback(
            lambda done: self._ended(server, ticket, began, done)
        )
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            cancellation.cancel()
            raise

    def _ended(
        self,
        server: Server,
        ticket: admission.Ticket,
        began: float,
        done: "asyncio.Future[answers.Answer]",
    ) -> None:
        """Give the slot back once the worker thread is through."""
        now = self.time.now()
        answer = None if done.cancelled() else done.result()
        shed = answer is None or answer.reason is verdicts.Reason.SHED
        server.admitting.release(ticket, now, shed)
        if answer is None:
            return
        if answer.verdict is verdicts.Verdict.RAN:
            took_s = now - began
            weight = SERVICE_WEIGHT if server.service_s else 1.0
            server.service_s += weight * (took_s - server.service_s)
        if answer.reason is verdicts.Reason.SERVER_ENDED:
            self.tracker.unreachable = True
            self.lost()

    def _unfit(
        self,
        server: Server | None,
        ask: exchanges.Ask,
        drain_start_s: float = 0.0,
    ) -> verdicts.Reason | None:
        """Return why the server may not be sent a request, or None."""
        now = self.time.now()
        if server is None or server is not self.server:
            return verdicts.Reason.NO_BACKEND
        said = server.said
        if said.service != ask.service or said.run != ask.run:
            return verdicts.Reason.NO_BACKEND
        seen = self.tracker.seen
        drained_at = None if seen is None else seen.drained_at
        if ask.key >= 0:
            # Nobody else has the key before it has been moved.
            drain_start_s = DRAIN_START_S
        if drained_at is not None and now >= drained_at + drain_start_s:
            return verdicts.Reason.DRAINING
        if ask.key >= 0 and not self.held.holds(ask.key, now):
            return verdicts.Reason.NOT_OWNER
        return None

    def _refuse(
        self, why: verdicts.Reason, retry_after_s: float | None = None
    ) -> answers.Answer:
        return answers.refusal(why, self.name, retry_after_s=retry_after_s)
