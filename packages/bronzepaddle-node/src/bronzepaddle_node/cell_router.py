"""Routes callers' requests by the cell object and retries failed attempts.

The bundle (the configuration) determines the service of a request and its key,
which belongs to a hash slot.  The cell object records the members of the cell
and the owner of each hash slot.  A request with a key goes to the owner, any
other to a member with little load: it is served here or forwarded, at most one
hop away.  A request that certainly did not run is retried as long as the
deadline and the retry budget allow; one that may have run only if it is
idempotent.
"""

import collections
import collections.abc
import dataclasses
import random
import threading
import time
import typing

from bronzepaddle import (
    bundles,
    cells,
    http_messages,
    ids,
    logs,
    slot_routing,
    verdicts,
)
from bronzepaddle.load import retries
from bronzepaddle_callers import streaming_app
from bronzepaddle_peers import forwarding

from bronzepaddle_node import bodies, metrics, owner, state


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One attempt: the member chosen, if any, and the response."""

    choice: slot_routing.Choice
    response: http_messages.Response


class CellRouter:
    """Routes the requests of the callers of one process; thread-safe."""

    def __init__(
        self,
        node_state: state.NodeState,
        local_owner: owner.SlotOwner,
        forwarder: forwarding.Forwarder,
        metrics_recorder: metrics.NodeMetrics,
        rng: random.Random,
    ) -> None:
        self.state = node_state
        self.local_owner = local_owner
        self.forwarder = forwarder
        self.metrics_recorder = metrics_recorder
        self.rng = rng
        self.retry_budgets = retries.RetryBudgets()
        self.lock = threading.Lock()
        # The requests that this router has in flight at each member.
        self.outstanding: collections.Counter[ids.MemberId] = (
            collections.Counter()
        )
        self.waiting_threads = threading.BoundedSemaphore(
            retries.MAX_WAITING_THREADS
        )

    def serve(
        self, caller_request: streaming_app.StreamingRequest
    ) -> http_messages.Response:
        """Route a caller's request and return the response."""
        active = self.state.bundle
        if active is None:
            return self._reject_unrouted(
                caller_request, verdicts.Reason.NO_BUNDLE, ""
            )
        matched = slot_routing.match_request(
            active.rules, _routing_input(caller_request)
        )
        match matched:
            case slot_routing.NoMatch(reason, detail):
                return self._reject_unrouted(caller_request, reason, detail)
            case slot_routing.RequestMatch():
                return self._serve_matched(
                    caller_request, matched, active.rules
                )
            case _:
                typing.assert_never(matched)

    def _reject_unrouted(
        self,
        caller_request: streaming_app.StreamingRequest,
        reason: verdicts.Reason,
        detail: str,
    ) -> http_messages.Response:
        """Log and return the rejection of a request before any attempt."""
        logs.unrouted(
            self.state.name,
            caller_request.request_id,
            caller_request.caller,
            caller_request.target,
            reason,
            detail,
        )
        self.metrics_recorder.record_unrouted(reason)
        return http_messages.rejection(reason, self.state.name, detail=detail)

    def _serve_matched(
        self,
        caller_request: streaming_app.StreamingRequest,
        matched: slot_routing.RequestMatch,
        rules: bundles.Bundle,
    ) -> http_messages.Response:
        """Serve a request whose service is known, unless it is invalid."""
        if matched.uses_former_prefix:
            logs.former_name(
                self.state.name,
                caller_request.request_id,
                caller_request.caller,
                matched.service.name,
                caller_request.path,
            )
        try:
            request = self._build_request(caller_request, matched, rules)
        except streaming_app.BadRequestError as error:
            return self._reject_unrouted(
                caller_request, verdicts.Reason.BAD_REQUEST, str(error)
            )
        if (caller_request.body_length or 0) > matched.service.max_body_bytes:
            return self._reject_unrouted(
                caller_request,
                verdicts.Reason.TOO_LARGE,
                f"the body may have at most {matched.service.max_body_bytes} "
                "bytes",
            )
        return self._run_attempts(request, matched, caller_request.body)

    def _build_request(
        self,
        caller_request: streaming_app.StreamingRequest,
        matched: slot_routing.RequestMatch,
        rules: bundles.Bundle,
    ) -> http_messages.Request:
        """Build the request to send to a member.

        Raises ``BadRequestError`` for an unknown priority or a bad deadline.
        """
        priority_name = caller_request.router_headers.get(
            streaming_app.PRIORITY_HEADER.lower(), matched.service.priority
        )
        priority = rules.priorities.get(ids.PriorityName(priority_name))
        if priority is None:
            raise streaming_app.BadRequestError(
                f"unknown priority: {priority_name}"
            )
        idempotency_key = caller_request.router_headers.get(
            streaming_app.IDEMPOTENCY_KEY_HEADER.lower()
        )
        return http_messages.Request(
            request_id=caller_request.request_id,
            caller=caller_request.caller,
            service=matched.service.name,
            priority=priority.name,
            method=caller_request.method,
            target=caller_request.target,
            headers=caller_request.headers,
            key=matched.key,
            slot=matched.slot,
            deadline=self.state.clock.now()
            + _time_left_s(caller_request, priority),
            idempotent=caller_request.method
            in matched.service.idempotent_methods,
            idempotency_key=ids.IdempotencyKey(idempotency_key)
            if idempotency_key
            else None,
            first_attempt=caller_request.router_headers.get(
                streaming_app.FIRST_ATTEMPT_HEADER.lower()
            )
            == "yes",
            body_length=caller_request.body_length,
        )

    def _run_attempts(
        self,
        request: http_messages.Request,
        matched: slot_routing.RequestMatch,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Make attempts until one is final; return its response."""
        started_at = time.monotonic()
        request_body = retries.RequestBody(body, request.body_length)
        self.retry_budgets.earn(request.service)
        attempts = 0
        while True:
            attempts += 1
            seen_version = self.state.cell_version
            attempt = self._attempt(request, matched, request_body)
            pause_s = self._pause_before_retry_s(
                request, attempt.response, request_body, attempts
            )
            if pause_s is None:
                break
            if not self._wait_before_retry(seen_version, pause_s):
                break
        took_s = time.monotonic() - started_at
        self._record_outcome(request, attempt, attempts, took_s)
        return attempt.response

    def _pause_before_retry_s(
        self,
        request: http_messages.Request,
        response: http_messages.Response,
        request_body: retries.RequestBody,
        attempts: int,
    ) -> float | None:
        """Return the seconds until the next attempt, or None for no retry."""
        decision = retries.decide(
            retries.AttemptResult(
                response.verdict,
                response.reason,
                request.idempotent,
                request_body.repeatable,
                request.deadline - self.state.clock.now(),
                attempts,
            )
        )
        match decision:
            case retries.GiveUp():
                return None
            case retries.Retry(pause_s, uses_budget):
                if uses_budget and not self.retry_budgets.spend(
                    request.service
                ):
                    return None
                return pause_s
            case _:
                typing.assert_never(decision)

    def _wait_before_retry(
        self, seen_version: ids.ObjectVersion, pause_s: float
    ) -> bool:
        """Wait until the next attempt, and return whether to make it.

        A cell object newer than ``seen_version`` ends the pause early.  No
        attempt is made if too many threads wait already.
        """
        if not self.waiting_threads.acquire(blocking=False):
            return False
        try:
            self.state.wait_for_newer_cell(seen_version, pause_s)
        finally:
            self.waiting_threads.release()
        return True

    def _attempt(
        self,
        request: http_messages.Request,
        matched: slot_routing.RequestMatch,
        request_body: retries.RequestBody,
    ) -> _Attempt:
        """Choose a member by the cell object and send it the request."""
        known_cell = self.state.known_cell
        if known_cell is None:
            choice = slot_routing.Choice(None, verdicts.Reason.NO_OWNER)
        else:
            choice = slot_routing.choose_member(
                known_cell.cell, matched, self._outstanding_at, self.rng
            )
        if choice.member is None or known_cell is None:
            return _Attempt(
                choice, http_messages.rejection(choice.reason, self.state.name)
            )
        response = self._send(
            choice.member, known_cell.cell, request, request_body
        )
        return _Attempt(choice, response)

    def _send(
        self,
        member: ids.MemberId,
        cell: cells.Cell,
        request: http_messages.Request,
        request_body: retries.RequestBody,
    ) -> http_messages.Response:
        """Serve a request here, or forward it to the chosen member."""
        self._add_outstanding(member, 1)
        release = bodies.Once(lambda: self._add_outstanding(member, -1))
        try:
            if member == self.state.name:
                response = self.local_owner.serve(
                    request, request_body.chunks()
                )
            else:
                response = self.forwarder.forward(
                    member,
                    cell.members[member].address,
                    request,
                    request_body.chunks(),
                )
        except http_messages.IncompleteBodyError as error:
            release()
            return http_messages.rejection(
                verdicts.Reason.BAD_REQUEST,
                self.state.name,
                verdicts.Verdict.MAY_HAVE_RUN,
                detail=str(error),
            )
        except BaseException:
            release()
            raise
        return bodies.with_end_callback(response, release)

    def _outstanding_at(self, member: ids.MemberId) -> float:
        """Return the number of this router's requests at a member."""
        return self.outstanding[member]

    def _add_outstanding(self, member: ids.MemberId, change: int) -> None:
        """Change the number of this router's requests at a member."""
        with self.lock:
            self.outstanding[member] += change

    def _record_outcome(
        self,
        request: http_messages.Request,
        last_attempt: _Attempt,
        attempts: int,
        took_s: float,
    ) -> None:
        """Log the routing of a request and update the metrics."""
        logs.routing(
            self.state.name,
            request,
            last_attempt.choice.member,
            last_attempt.choice.token,
            self.state.cell_version,
            self.state.bundle_version,
            last_attempt.response,
            attempts,
            took_s,
        )
        self.metrics_recorder.record_response(
            request, last_attempt.response, took_s
        )


def _routing_input(
    caller_request: streaming_app.StreamingRequest,
) -> slot_routing.RoutingInput:
    """Return the parts of a request by which it is routed."""
    return slot_routing.RoutingInput(
        host=caller_request.host,
        path=caller_request.path,
        query=caller_request.query,
        headers={
            **{name.lower(): value for name, value in caller_request.headers},
            **caller_request.router_headers,
        },
    )


def _time_left_s(
    caller_request: streaming_app.StreamingRequest, priority: bundles.Priority
) -> float:
    """Return the seconds until the deadline of a request.

    They are those of its priority, or fewer if the caller sets fewer.  Raises
    ``BadRequestError`` if the caller's value is invalid.
    """
    requested_ms = caller_request.router_headers.get(
        streaming_app.DEADLINE_MS_HEADER.lower()
    )
    if requested_ms is None:
        return priority.deadline_s
    if not requested_ms.isdecimal() or int(requested_ms) == 0:
        raise streaming_app.BadRequestError(
            f"the deadline in {streaming_app.DEADLINE_MS_HEADER} is not a "
            "positive number of milliseconds"
        )
    return min(int(requested_ms) / 1000, priority.deadline_s)
