"""Takes a caller's request and brings it to the server that is to run it.

Finds service and key by the bundle, the owner by the cell object, serves the
request here or forwards it once.  A refusal that certainly did not run is
tried again while the deadline and the retry budget allow; anything else only
if the request is idempotent.
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
    retries,
    slot_routing,
    verdicts,
)
from bronzepaddle_callers import streaming_app
from bronzepaddle_peers import forwarding

from bronzepaddle_node import bodies, metrics, owner, state


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One try: where the request went and what came of it."""

    choice: slot_routing.Choice
    answer: http_messages.Response


class CellRouter:
    """The callers' side of one process."""

    def __init__(
        self,
        node_state: state.NodeState,
        local: owner.Owner,
        forwarder: forwarding.Forwarder,
        meters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.state = node_state
        self.local = local
        self.forwarder = forwarder
        self.meters = meters
        self.rng = rng
        self.budgets = retries.RetryBudgets()
        self.lock = threading.Lock()
        self.outstanding: collections.Counter[ids.MemberId] = (
            collections.Counter()
        )
        self.held = threading.BoundedSemaphore(retries.MAX_WAITING_THREADS)

    def serve(
        self, call: streaming_app.StreamingRequest
    ) -> http_messages.Response:
        """Return the answer to one caller's request."""
        in_force = self.state.bundle
        if in_force is None:
            return self._unrouted(call, verdicts.Reason.NO_BUNDLE, "")
        found = slot_routing.match_request(in_force.rules, _target(call))
        match found:
            case slot_routing.NoMatch(reason, detail):
                return self._unrouted(call, reason, detail)
            case slot_routing.RequestMatch():
                return self._routed(call, found, in_force.rules)
            case _:
                typing.assert_never(found)

    def _unrouted(
        self,
        call: streaming_app.StreamingRequest,
        why: verdicts.Reason,
        detail: str,
    ) -> http_messages.Response:
        logs.unrouted(
            self.state.name,
            call.request_id,
            call.caller,
            call.target,
            why,
            detail,
        )
        self.meters.record_unrouted(why)
        return http_messages.refusal(why, self.state.name, detail=detail)

    def _routed(
        self,
        call: streaming_app.StreamingRequest,
        found: slot_routing.RequestMatch,
        rules: bundles.Bundle,
    ) -> http_messages.Response:
        if found.former_name:
            logs.former_name(
                self.state.name,
                call.request_id,
                call.caller,
                found.service.name,
                call.path,
            )
        try:
            request = self._request(call, found, rules)
        except streaming_app.BadRequestError as error:
            return self._unrouted(
                call, verdicts.Reason.BAD_REQUEST, str(error)
            )
        if (call.length or 0) > found.service.max_body_bytes:
            return self._unrouted(
                call,
                verdicts.Reason.TOO_LARGE,
                f"at most {found.service.max_body_bytes} bytes",
            )
        return self._until_done(request, found, call.body)

    def _request(
        self,
        call: streaming_app.StreamingRequest,
        found: slot_routing.RequestMatch,
        rules: bundles.Bundle,
    ) -> http_messages.Request:
        """Build the request that travels on from a caller's."""
        name = call.router_headers.get(
            streaming_app.PRIORITY.lower(), found.service.priority
        )
        priority = rules.priorities.get(ids.PriorityName(name))
        if priority is None:
            raise streaming_app.BadRequestError(f"no priority is named {name}")
        key = call.router_headers.get(streaming_app.IDEMPOTENCY_KEY.lower())
        return http_messages.Request(
            request_id=call.request_id,
            caller=call.caller,
            service=found.service.name,
            priority=priority.name,
            method=call.method,
            target=call.target,
            headers=call.headers,
            key=found.key,
            slot=found.slot,
            deadline=self.state.time.now() + _time_left(call, priority),
            idempotent=call.method in found.service.idempotent_methods,
            idempotency_key=ids.IdempotencyKey(key) if key else None,
            first_attempt=call.router_headers.get(
                streaming_app.FIRST_ATTEMPT.lower()
            )
            == "yes",
            body_length=call.length,
        )

    def _until_done(
        self,
        request: http_messages.Request,
        found: slot_routing.RequestMatch,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Try until there is an answer or no try is left."""
        began = time.monotonic()
        upload = retries.RepeatableBody(body, request.body_length)
        self.budgets.earn(request.service)
        tries = 0
        while True:
            tries += 1
            known = self.state.version
            attempt = self._try(request, found, upload)
            pause_s = self._pause(request, attempt.answer, upload, tries)
            if pause_s is None:
                break
            if not self._hold(known, pause_s):
                break
        took_s = time.monotonic() - began
        self._note(request, attempt, tries, took_s)
        return attempt.answer

    def _pause(
        self,
        request: http_messages.Request,
        answer: http_messages.Response,
        upload: retries.RepeatableBody,
        tries: int,
    ) -> float | None:
        """Return the time until another try, or None for no other."""
        again = retries.decide(
            retries.AttemptResult(
                answer.verdict,
                answer.reason,
                request.idempotent,
                upload.repeatable,
                request.deadline - self.state.time.now(),
                tries,
            )
        )
        match again:
            case retries.GiveUp():
                return None
            case retries.Retry(pause_s, costs):
                if costs and not self.budgets.spend(request.service):
                    return None
                return pause_s
            case _:
                typing.assert_never(again)

    def _hold(self, known: ids.ObjectVersion, pause_s: float) -> bool:
        """Wait for news of ownership, or for the pause before another try.

        Unless too many callers' threads wait already: tell so at once.
        """
        if not self.held.acquire(blocking=False):
            return False
        try:
            self.state.wait_for_newer_cell(known, pause_s)
        finally:
            self.held.release()
        return True

    def _try(
        self,
        request: http_messages.Request,
        found: slot_routing.RequestMatch,
        upload: retries.RepeatableBody,
    ) -> _Attempt:
        view = self.state.view
        if view is None:
            choice = slot_routing.Choice(None, verdicts.Reason.NO_OWNER)
        else:
            choice = slot_routing.choose_member(
                view.cell, found, self._load, self.rng
            )
        if choice.member is None or view is None:
            return _Attempt(
                choice, http_messages.refusal(choice.reason, self.state.name)
            )
        answer = self._send(choice.member, view.cell, request, upload)
        return _Attempt(choice, answer)

    def _send(
        self,
        member: ids.MemberId,
        view: cells.Cell,
        request: http_messages.Request,
        upload: retries.RepeatableBody,
    ) -> http_messages.Response:
        """Serve here, or forward to the member chosen."""
        self._count(member, 1)
        left = bodies.Once(lambda: self._count(member, -1))
        try:
            if member == self.state.name:
                answer = self.local.serve(request, upload.chunks())
            else:
                answer = self.forwarder.forward(
                    member,
                    view.members[member].address,
                    request,
                    upload.chunks(),
                )
        except http_messages.IncompleteBodyError as error:
            left()
            return http_messages.refusal(
                verdicts.Reason.BAD_REQUEST,
                self.state.name,
                verdicts.Verdict.MAY_HAVE_RUN,
                detail=str(error),
            )
        except BaseException:
            left()
            raise
        return bodies.with_end(answer, left)

    def _load(self, member: ids.MemberId) -> float:
        return self.outstanding[member]

    def _count(self, member: ids.MemberId, by: int) -> None:
        with self.lock:
            self.outstanding[member] += by

    def _note(
        self,
        request: http_messages.Request,
        attempt: _Attempt,
        tries: int,
        took_s: float,
    ) -> None:
        logs.routing(
            self.state.name,
            request,
            attempt.choice.member,
            attempt.choice.token,
            self.state.version,
            self.state.bundle_version,
            attempt.answer,
            tries,
            took_s,
        )
        self.meters.record_response(request, attempt.answer, took_s)


def _target(
    call: streaming_app.StreamingRequest,
) -> slot_routing.RequestTarget:
    return slot_routing.RequestTarget(
        host=call.host,
        path=call.path,
        query=call.query,
        headers={
            **{name.lower(): value for name, value in call.headers},
            **call.router_headers,
        },
    )


def _time_left(
    call: streaming_app.StreamingRequest, priority: bundles.Priority
) -> float:
    """Return the seconds that a request has; the caller may ask for less."""
    asked = call.router_headers.get(streaming_app.DEADLINE_MS.lower())
    if asked is None:
        return priority.deadline_s
    if not asked.isdecimal() or int(asked) == 0:
        raise streaming_app.BadRequestError(
            f"{streaming_app.DEADLINE_MS} is no number of milliseconds"
        )
    return min(int(asked) / 1000, priority.deadline_s)
