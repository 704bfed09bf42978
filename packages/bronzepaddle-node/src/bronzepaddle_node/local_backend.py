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
    clocks,
    http_messages,
    ids,
    key_load,
    logs,
    server_queue,
    suspects,
    verdicts,
)
from bronzepaddle_backend import connections, server_tracker
from bronzepaddle_peers import pacing, stream_client, stream_messages

from bronzepaddle_node import crash_detector, held_keys

DRAIN_START_S: typing.Final = 1.0
"""Time after a server's leaving for which admitted requests still start."""

END_SPREAD: typing.Final = 3.0
"""Multiple of its mean time that a request must have before the process
ends, else it is not begun."""

MOVING_RETRY_S: typing.Final = 0.1


class ServerRun:
    """One run of the backend server, with what leads to it."""

    def __init__(
        self,
        said: server_tracker.Announcement,
        links: connections.Connections,
        line: server_queue.ServerQueue,
    ) -> None:
        self.announcement = said
        self.connections = links
        self.line = line
        self.leaves = said.state is server_tracker.AnnouncedState.DRAINING
        # Who waits for a turn, and whose request is at the server.
        self.turns: dict[server_queue.QueueEntry, asyncio.Future[bool]] = {}
        self.sent: set[server_queue.QueueEntry] = set()

    def fill(self, now: float) -> None:
        """Let those go on whose turn it is, or who can't be served."""
        for place in self.line.remove_expired(now):
            self._tell(place, False)
        for place in self.line.start_next(now):
            self._tell(place, True)

    def _tell(self, place: server_queue.QueueEntry, starts: bool) -> None:
        turn = self.turns.pop(place, None)
        if turn is not None and not turn.done():
            turn.set_result(starts)


class LocalBackend:
    """The server beside this process and the requests that it works on."""

    def __init__(
        self,
        name: ids.MemberId,
        header_names: connections.HeaderNames,
        tracker: server_tracker.Tracker,
        held: held_keys.HeldKeys,
        workers: concurrent.futures.Executor,
        crashes: crash_detector.CrashDetector,
        pacer: pacing.Pacer,
        time: clocks.Clock,
        lost: collections.abc.Callable[[], None],
    ) -> None:
        self.name = name
        self.crashes = crashes
        self.lost = lost
        self.header_names = header_names
        self.tracker = tracker
        self.held = held
        self.workers = workers
        self.pacer = pacer
        self.time = time
        self.server: ServerRun | None = None
        self.in_flight = 0
        # When this process ends, whatever still runs.
        self.process_ends_at = float("inf")
        self.key_load = key_load.KeyLoadCounter(time.now())

    def on_announcement(self, said: server_tracker.Announcement) -> None:
        """Take the newest announcement in; a new run gets a new queue."""
        known = self.server
        if known is not None and known.announcement.run == said.run:
            known.announcement = said
            known.leaves |= (
                said.state is server_tracker.AnnouncedState.DRAINING
            )
            return
        if known is not None:
            known.connections.close()
            if not known.leaves:
                self.crashes.run_ended()
        self.crashes.new_run()
        links = connections.Connections(
            self.name, said.host, said.port, self.header_names, self.time.now
        )
        self.server = ServerRun(
            said, links, server_queue.ServerQueue(said.slots, self.time.now())
        )
        self.held.set_run(said.run)

    def on_server_leaving(self, server_id: str) -> None:
        """Take in that a server leaves: its end will be no crash."""
        known = self.server
        if known is not None and known.announcement.server_id == server_id:
            known.leaves = True

    def queue(self) -> logs.Queue:
        """Return the server's line as it is now."""
        server = self.server
        if server is None:
            return logs.Queue(0, 0, 0)
        line = server.line
        return logs.Queue(line.running, len(line.waiting), line.slots)

    def outstanding(self) -> int:
        """Return how many requests wait or run."""
        return 0 if self.server is None else self.in_flight

    def service_s(self) -> float:
        """Return the mean time of a request at the server, 0 if unknown."""
        return 0.0 if self.server is None else self.server.line.mean_of_all_s()

    async def handle_from_peer(
        self, ask: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Return the reply to a peer, to which the answer has to be sent.

        What the link could not bring there in time is turned away now.
        """
        server = self.server
        sent_s = self.pacer.queueing_delay_s(ask.route)
        mean_s = 0.0 if server is None else server.line.mean_s(ask.route)
        patience_s = server_queue.latency_bound_s(_work(ask))
        if sent_s == 0.0 or sent_s + mean_s <= patience_s:
            return await self.handle(ask)
        answer = http_messages.refusal(
            verdicts.Reason.TOO_LATE,
            self.name,
            retry_after_s=sent_s,
            detail=f"the link is full for {sent_s:.3f} s",
        )
        return self._reply(ask, answer)

    async def handle(
        self, ask: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Return the reply to one request of a peer, or of this process."""
        return self._reply(ask, await self._answer(ask))

    def _reply(
        self,
        ask: stream_messages.ForwardedRequest,
        answer: http_messages.Response,
    ) -> stream_client.Reply:
        if answer.verdict is verdicts.Verdict.NOT_RUN:
            logs.turned_away(
                ask.request_id, ask.route, ask.rank, answer, self.queue()
            )
        return stream_client.Reply(
            answer, self.outstanding(), self.service_s(), True
        )

    async def _answer(
        self, ask: stream_messages.ForwardedRequest
    ) -> http_messages.Response:
        server = self.server
        why = self._unfit(server, ask)
        if why is not None or server is None:
            return self._refuse(
                why or verdicts.Reason.NO_BACKEND, MOVING_RETRY_S
            )
        if self.crashes.refuses(ask.service, ask.method, ask.target, ask.body):
            return self._refuse(
                verdicts.Reason.SUSPECT, crash_detector.REFUSE_S
            )
        if ask.key >= 0:
            self.key_load.count(ask.key)
        now = self.time.now()
        if (
            now + END_SPREAD * server.line.mean_s(ask.route)
            > self.process_ends_at
        ):
            return self._refuse(verdicts.Reason.DRAINING, MOVING_RETRY_S)
        deadline = now + ask.time_left_s
        placed = server.line.submit(_work(ask), now)
        match placed:
            case server_queue.Rejected(wait_s, retry_after_s):
                return http_messages.refusal(
                    verdicts.Reason.TOO_LATE,
                    self.name,
                    retry_after_s=retry_after_s,
                    detail=f"expected to start in {wait_s:.3f} s",
                )
            case server_queue.QueueEntry():
                return await self._in_line(server, placed, ask, deadline)
            case _:
                typing.assert_never(placed)

    async def _in_line(
        self,
        server: ServerRun,
        place: server_queue.QueueEntry,
        ask: stream_messages.ForwardedRequest,
        deadline: float,
    ) -> http_messages.Response:
        """Wait for a slot, then send; the place is given up in any case."""
        self.in_flight += 1
        turn = asyncio.get_running_loop().create_future()
        server.turns[place] = turn
        server.fill(self.time.now())
        try:
            if not await turn:
                return self._refuse(verdicts.Reason.TOO_LATE)
            why = self._unfit(server, ask, DRAIN_START_S)
            if why is not None:
                return self._refuse(why, MOVING_RETRY_S)
            return await self._send(server, place, ask, deadline)
        finally:
            self.in_flight -= 1
            server.turns.pop(place, None)
            if place not in server.sent:
                server.line.remove(place, self.time.now(), False)
                server.fill(self.time.now())

    async def _send(
        self,
        server: ServerRun,
        place: server_queue.QueueEntry,
        ask: stream_messages.ForwardedRequest,
        deadline: float,
    ) -> http_messages.Response:
        """Send to the server; a cancelled request closes its connection."""
        outgoing = connections.BackendRequest(
            request_id=ask.request_id,
            caller_service=ask.caller_service,
            run_id=server.announcement.server_id,
            method=ask.method,
            target=ask.target,
            headers=ask.headers,
            body=ask.body,
            deadline=deadline,
            idempotent=ask.idempotent,
        )
        cancellation = connections.Cancellation()
        server.sent.add(place)
        running = asyncio.get_running_loop().run_in_executor(
            self.workers, server.connections.send, outgoing, cancellation
        )
        running.add_done_callback(
            lambda done: self._ended(server, place, ask, cancellation, done)
        )
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            cancellation.cancel()
            raise

    def _ended(
        self,
        server: ServerRun,
        place: server_queue.QueueEntry,
        ask: stream_messages.ForwardedRequest,
        cancellation: connections.Cancellation,
        done: "asyncio.Future[http_messages.Response]",
    ) -> None:
        """Give the slot back once the worker thread is through."""
        now = self.time.now()
        answer = None if done.cancelled() else done.result()
        ran = answer is not None and answer.verdict is verdicts.Verdict.RAN
        server.sent.discard(place)
        server.line.remove(place, now, ran)
        server.fill(now)
        if answer is None:
            return
        if answer.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            logs.lost_at_server(
                ask.request_id,
                server.announcement.run,
                answer,
                cancellation.cancelled,
            )
        if server is not self.server:
            return
        self.crashes.answered(
            suspects.fingerprint(
                ask.service, ask.method, ask.target, ask.body
            ),
            answer.reason,
        )
        ended = answer.reason is verdicts.Reason.SERVER_ENDED
        if ended and not self.tracker.unreachable:
            if not server.leaves:
                self.crashes.run_ended()
            self.tracker.unreachable = True
            self.lost()

    def _unfit(
        self,
        server: ServerRun | None,
        ask: stream_messages.ForwardedRequest,
        drain_start_s: float = 0.0,
    ) -> verdicts.Reason | None:
        """Return why the server may not be sent a request, or None."""
        now = self.time.now()
        if server is None or server is not self.server:
            return verdicts.Reason.NO_BACKEND
        said = server.announcement
        if said.service != ask.service or said.run != ask.run:
            return verdicts.Reason.NO_BACKEND
        seen = self.tracker.latest
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
    ) -> http_messages.Response:
        return http_messages.refusal(
            why, self.name, retry_after_s=retry_after_s
        )


def _work(
    ask: stream_messages.ForwardedRequest,
) -> server_queue.RequestProfile:
    return server_queue.RequestProfile(
        rank=ask.rank,
        kind=ask.route,
        target_s=ask.target_s,
        left_s=ask.time_left_s,
        idempotent=ask.idempotent,
        late=ask.late,
    )
