"""Connection pool to one run of the backend server on the same VM.

A run lasts from one start of the server to the next.  Besides requests, the
server is sent commands, which grant it keys and revoke them.

``Connections.send`` runs on a worker thread and returns a complete response:
the body is read to its end before anything is passed on, so that a truncated
response never looks complete and a connection is reused only after the
complete response to its last request.  A connection is closed after any
error or unexpected response.  ``HeaderNames`` holds the header names, which
differ between deployments.
"""

import collections.abc
import dataclasses
import http.client
import select
import socket
import threading
import time
import typing

import urllib3
from bronzepaddle import (
    bounded_http,
    held_body,
    http_messages,
    ids,
    problems,
    verdicts,
)
from bronzepaddle.load import body_budget, server_queue

from bronzepaddle_backend import reached_runs

CONNECT_TIMEOUT_S: typing.Final = 0.5

MIN_TIMEOUT_S: typing.Final = 0.01
"""Smallest socket timeout: 0 would make the socket non-blocking."""

MAX_IDLE_S: typing.Final = 4.0
"""Idle time after which a connection isn't reused for idempotent requests."""

MAX_IDLE_NOT_IDEMPOTENT_S: typing.Final = 1.0
"""Idle time after which a connection isn't reused for other requests.

Other requests are those that are not idempotent and commands.  The time is
shorter, because the server may be closing the connection just then, and a
request lost that way must not be repeated.
"""

READ_SIZE_BYTES: typing.Final = 64 * 1024

MAX_BUFFERED_BYTES: typing.Final = 64 * 1024 * 1024
"""Limit on the bytes of all responses being read from one server.

A share of the memory of the smallest VM.
"""

ROOM_WAIT_S: typing.Final = 2.0
"""Time for which the reading of a response waits for room in the budget.

Slow callers, whose responses take it, are closed meanwhile.
"""

ROOM_POLL_S: typing.Final = 0.05

HEALTH_TIMEOUT_S: typing.Final = 0.5
"""Timeout of a health check, which waits for a slot like any request."""

_CONNECTION_ERRORS: typing.Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""Exceptions that urllib3 raises for a broken connection or response."""


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers exchanged with a backend server.

    Sent with a request: ``request_id``, also echoed in the response,
    ``deadline_ms``, the remaining time in milliseconds, ``server_id``, the id
    of the server that the request is for, and ``caller_service``.  Received:
    ``not_run`` marks the response to a request that the server did not run;
    ``signature`` marks responses made by the server itself, ``server_load``
    contains the server's load and ``named_id`` the id of the server in the
    response to a health request; each is empty if the deployment has no such
    header.
    """

    request_id: str
    deadline_ms: str
    server_id: str
    caller_service: str
    not_run: str
    signature: str
    server_load: str = ""
    named_id: str = ""

    def reserved_names(self) -> frozenset[str]:
        """Return the names that only this process may set, in lower case."""
        names = (self.deadline_ms, self.server_id, self.caller_service)
        return frozenset(name.lower() for name in names if name)


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """A request to the backend server.

    ``server_id`` is the id of the server that the request is for.
    ``deadline`` is a time on this process's clock.
    """

    request_id: ids.RequestId
    caller_service: ids.ServiceName
    server_id: str
    method: str
    target: str
    headers: http_messages.Headers
    body: bytes | memoryview
    deadline: float
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Recipient:
    """The run of the server that a command is for.

    ``server_id`` is its id, ``health_path`` the path at which the server names
    its id.  ``reached`` is the run that the last command for it has reached,
    None if there was none.
    """

    server_id: str
    health_path: str
    reached: reached_runs.ReachedRun | None = None


class HealthAnswer(typing.NamedTuple):
    """The result of a health check.

    ``server_id`` is the id that the server has named, None if it names none.
    """

    status: int
    server_id: str | None


class CommandResponse(typing.NamedTuple):
    """The status and the headers of the response to a command.

    ``reached`` is the run that has sent it.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    reached: reached_runs.ReachedRun


class Cancellation:
    """Allows another thread to cancel a request that is being sent."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.cancelled = False
        self.connection: bounded_http.Connection | None = None

    def attach(self, connection: bounded_http.Connection) -> bool:
        """Set the connection in use; return False if already cancelled."""
        with self.lock:
            self.connection = connection
            return not self.cancelled

    def detach(self) -> None:
        """Unset the connection: it is no longer used for this request."""
        with self.lock:
            self.connection = None

    def cancel(self) -> None:
        """Cancel the request by closing its connection to the server."""
        with self.lock:
            self.cancelled = True
            connection = self.connection
            if connection is None or connection.sock is None:
                return
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The server has already closed it.
                return


class InvalidResponseError(Exception):
    """A response is invalid, or too many bytes are being read at once."""


@dataclasses.dataclass(frozen=True)
class _IdleConnection:
    """A connection that may be reused and the time when it became idle."""

    connection: bounded_http.Connection
    idle_since: float


class Connections:
    """A thread-safe pool of connections to one run of a backend server.

    ``member`` is the id of this process, which its rejections contain.
    ``budget`` is the memory for bodies.
    """

    def __init__(
        self,
        member: ids.MemberId,
        host: str,
        port: int,
        header_names: HeaderNames,
        time_now: collections.abc.Callable[[], float],
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self.member = member
        self.host = host
        self.port = port
        self.header_names = header_names
        self.time_now = time_now
        self.budget = budget or body_budget.BodyBudget()
        self.lock = threading.Lock()
        self.idle: list[_IdleConnection] = []
        # The last connection with a refusal: it carries nothing more, but it
        # shows the run of the server while it is open.
        self.refused: bounded_http.Connection | None = None
        self.closed = False
        self.reached_runs = reached_runs.ReachedRuns()
        # Whether the server has closed a connection after a response.
        self.closed_by_server = False
        # Bytes of all responses that are being read now.
        self.buffered_bytes = 0

    def send(
        self, request: BackendRequest, cancellation: Cancellation
    ) -> http_messages.Response:
        """Send a request and return the complete response.

        Returns a rejection if the server refuses the request or the exchange
        fails; the rejection's verdict states whether the request may have run.
        """
        left_s = request.deadline - self.time_now()
        if left_s <= MIN_TIMEOUT_S:
            return self._reject(verdicts.Reason.TOO_LATE)
        try:
            connection = self._acquire(
                MAX_IDLE_S
                if request.idempotent
                else MAX_IDLE_NOT_IDEMPOTENT_S,
                _connect_timeout_s(left_s),
            )
        except (OSError, urllib3.exceptions.HTTPError) as error:
            reason = (
                verdicts.Reason.SERVER_ENDED
                if _connection_refused(error)
                else verdicts.Reason.CONNECT_FAILED
            )
            return self._reject(reason, error)
        if not cancellation.attach(connection):
            connection.close()
            return self._reject(verdicts.Reason.CANCELLED)
        try:
            return self._exchange(connection, request, cancellation)
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            connection.close()
            return self._reject_may_have_run(
                self._timeout_reason(request), error
            )
        except (
            InvalidResponseError,
            bounded_http.ResponseTooLargeError,
        ) as error:
            connection.close()
            return self._reject_may_have_run(verdicts.Reason.TRUNCATED, error)
        except _CONNECTION_ERRORS as error:
            connection.close()
            return self._reject_may_have_run(
                verdicts.Reason.BACKEND_LOST, error
            )
        finally:
            cancellation.detach()

    def _timeout_reason(self, request: BackendRequest) -> verdicts.Reason:
        """Return the reason for the timeout of a request.

        The deadline and a dead connection raise the same error, but keepalive
        detects a dead connection before the deadline.
        """
        left_s = request.deadline - self.time_now()
        if left_s > MIN_TIMEOUT_S:
            return verdicts.Reason.BACKEND_LOST
        return verdicts.Reason.DEADLINE

    def _acquire(
        self, max_idle_s: float, timeout_s: float
    ) -> bounded_http.Connection:
        """Return an idle connection that is still usable, or a new one.

        Connections that were idle for too long are closed only then: they
        show whether a new one leads to the same run of the server.
        """
        unusable: list[bounded_http.Connection] = []
        try:
            idle = self._idle_connection(max_idle_s, unusable)
            return self._connect(timeout_s) if idle is None else idle
        finally:
            for connection in unusable:
                connection.close()

    def _connect(self, timeout_s: float) -> bounded_http.Connection:
        """Return a new connection."""
        connection = bounded_http.connection(self.host, self.port, timeout_s)
        connection.connect()
        self.reached_runs.add(connection)
        return connection

    def _idle_connection(
        self, max_idle_s: float, unusable: list[bounded_http.Connection]
    ) -> bounded_http.Connection | None:
        """Take a usable connection from the pool; None if there is none.

        Those before it that can't be used are added to ``unusable``.
        """
        now = self.time_now()
        while True:
            with self.lock:
                entry = self.idle.pop() if self.idle else None
            if entry is None:
                return None
            if now - entry.idle_since < max_idle_s and _usable(
                entry.connection
            ):
                return entry.connection
            unusable.append(entry.connection)

    def _exchange(
        self,
        connection: bounded_http.Connection,
        request: BackendRequest,
        cancellation: Cancellation,
    ) -> http_messages.Response:
        """Send a request on a connection and return the complete response.

        Returns the connection to the pool if it can be reused.  Raises
        ``InvalidResponseError`` and the errors of urllib3.
        """
        left_s = request.deadline - self.time_now()
        if left_s <= MIN_TIMEOUT_S:
            self._make_idle(connection)
            return self._reject(verdicts.Reason.TOO_LATE)
        reached = self.reached_runs.run_of(connection)
        connection.timeout = left_s
        connection.sock.settimeout(left_s)
        connection.request(
            request.method,
            request.target,
            # urllib3 accepts any buffer.
            body=typing.cast(bytes, request.body) or None,
            headers=self._headers(request, left_s),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        rejection = self._check_response(request, response)
        if rejection is None and self.header_names.server_id:
            # Another server would have refused the request.
            self.reached_runs.record_id(reached, request.server_id)
        body = self._read_body(response, request.deadline)
        result = rejection or http_messages.Response(
            status=response.status,
            headers=http_messages.without_hop_by_hop(response.headers.items()),
            body=held_body.Pieces(body),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.SERVED,
            server=self.member,
        )
        cancellation.detach()
        self._release(connection, response)
        return result

    def _headers(
        self, request: BackendRequest, left_s: float
    ) -> urllib3.HTTPHeaderDict:
        """Return the headers to send with a request."""
        header_names = self.header_names
        headers = urllib3.HTTPHeaderDict()
        names = set()
        for name, value in request.headers:
            headers.add(name, value)
            names.add(name.lower())
        headers[header_names.request_id] = request.request_id
        headers[header_names.deadline_ms] = str(max(1, int(left_s * 1000)))
        headers[header_names.server_id] = request.server_id
        headers[header_names.caller_service] = request.caller_service
        for name in ("User-Agent", "Accept-Encoding"):
            if name.lower() not in names:
                # Keeps urllib3 from adding its own if the caller sent none.
                headers[name] = urllib3.util.SKIP_HEADER
        if not request.body and request.method not in ("GET", "HEAD"):
            headers["Content-Length"] = "0"
        return headers

    def _check_response(
        self,
        request: BackendRequest,
        response: urllib3.BaseHTTPResponse,
    ) -> http_messages.Response | None:
        """Return a rejection if the server refused; None if the request ran.

        Checks only the head of the response.  Raises ``InvalidResponseError``
        if the response belongs to another request or is encoded, if it is a
        success without the server's signature, or if its status would tell
        callers that the request did not run although ``not_run`` is missing.
        """
        header_names, headers = self.header_names, response.headers
        echoed = headers.get(header_names.request_id)
        if self._is_refusal(response) and echoed in (None, request.request_id):
            # A refusal without an id can't be an earlier one: no connection
            # is reused after a refusal.
            return http_messages.rejection(
                verdicts.Reason.SHED
                if response.status != 421
                else verdicts.Reason.NOT_GRANTED,
                self.member,
                retry_after_s=http_messages.parse_retry_after(
                    headers.get("Retry-After")
                ),
                detail=(
                    f"the server refused the request: HTTP {response.status}"
                ),
            )
        if echoed != request.request_id:
            raise InvalidResponseError(
                f"the response belongs to request {echoed}"
            )
        if headers.get("Content-Encoding") is not None:
            raise InvalidResponseError("the response body is encoded")
        signed = (
            not header_names.signature
            or headers.get(header_names.signature) is not None
        )
        if not signed and response.status < 300:
            raise InvalidResponseError(
                "the response is not signed by the server"
            )
        if response.status in problems.NOT_RUN_STATUSES:
            raise InvalidResponseError(
                f"status {response.status}, but not marked as not run"
            )
        return None

    def _is_refusal(self, response: urllib3.BaseHTTPResponse) -> bool:
        """Return whether a response states that a request did not run.

        Status 421 means that the request is meant for another server or that
        this one doesn't hold its key.
        """
        is_marked = response.headers.get(self.header_names.not_run) is not None
        return is_marked or response.status == 421

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> bytes | memoryview:
        """Read a body to its end and return it.

        Raises ``InvalidResponseError`` if all bodies being read together
        exceed ``MAX_BUFFERED_BYTES``, or if the budget has no room.
        """
        first = response.read(READ_SIZE_BYTES, decode_content=False)
        # Reading on finds out whether the body is cut off.
        piece = response.read(READ_SIZE_BYTES, decode_content=False)
        if not piece:
            # Small bodies are bounded by the number of threads.
            return first
        body = held_body.HeldBody(
            self.budget,
            bounded_http.MAX_BODY_BYTES,
            body_budget.RESPONSE_SHARE,
        )
        ends_at = min(deadline, self.time_now() + ROOM_WAIT_S)
        length = self._announced_length(response)
        self._wait_for_room(body, max(length, len(first)), ends_at)
        body.append(first)
        counted = 0
        try:
            while piece:
                counted += len(piece)
                self._count_buffered(len(piece))
                self._wait_for_room(body, body.size + len(piece), ends_at)
                body.append(piece)
                piece = response.read(READ_SIZE_BYTES, decode_content=False)
        finally:
            self._count_buffered(-counted)
        return body.received()

    def _announced_length(self, response: urllib3.BaseHTTPResponse) -> int:
        """Return the size of a body if its head tells one, else 0."""
        value = response.headers.get("Content-Length", "")
        length = int(value) if value.isdecimal() else 0
        return min(length, bounded_http.MAX_BODY_BYTES)

    def _wait_for_room(
        self, body: held_body.HeldBody, size: int, ends_at: float
    ) -> None:
        """Reserve room for a body of ``size`` bytes; wait if there is none.

        Raises ``InvalidResponseError`` if there is none until ``ends_at``.
        """
        try:
            body.reserve(size)
            return
        except held_body.NoRoomError as error:
            while not body.has_room(size):
                if self.time_now() >= ends_at:
                    raise InvalidResponseError(str(error)) from error
                time.sleep(ROOM_POLL_S)
                self.budget.on_shortage()
        self._wait_for_room(body, size, ends_at)

    def _count_buffered(self, count: int) -> None:
        """Add to the number of bytes being read.

        Raises ``InvalidResponseError`` if it exceeds ``MAX_BUFFERED_BYTES``.
        """
        with self.lock:
            self.buffered_bytes += count
            if count > 0 and self.buffered_bytes > MAX_BUFFERED_BYTES:
                raise InvalidResponseError(
                    f"more than {MAX_BUFFERED_BYTES} bytes of responses are "
                    "being read at once"
                )

    def send_command(
        self,
        path: str,
        build_body: collections.abc.Callable[[], bytes],
        timeout_s: float,
        reuse: bool = True,
        recipient: Recipient | None = None,
    ) -> CommandResponse:
        """Send a command by ``POST``; return its response.

        ``build_body`` is called once the server is connected, just before the
        command is written.  It may raise ``CommandNotSentError``.

        Without ``reuse``, it is sent on a new connection.  Responses to
        commands carry no id, so that one to an earlier command, sent again on
        a kept connection, would be taken for that to this one.

        With a ``recipient``, the command is written only to that run.

        Raises ``CommandNotSentError`` if the command can't be sent, and
        ``CommandLostError`` if it may have been or may still be executed.
        """
        try:
            connection = (
                self._acquire(MAX_IDLE_NOT_IDEMPOTENT_S, CONNECT_TIMEOUT_S)
                if reuse
                else self._connect(CONNECT_TIMEOUT_S)
            )
        except (OSError, urllib3.exceptions.HTTPError) as error:
            raise NotConnectedError(repr(error)) from error
        reached = self.reached_runs.run_of(connection)
        if recipient is not None:
            try:
                self._check_recipient(reached, recipient)
                self._keep_run_reached(connection)
            except CommandNotSentError:
                connection.close()
                raise
        try:
            body = build_body()
        except CommandNotSentError:
            self._make_idle(connection)
            raise
        try:
            connection.timeout = timeout_s
            connection.sock.settimeout(timeout_s)
            connection.request(
                "POST",
                path,
                body=body,
                headers={"Content-Type": "application/json"},
                preload_content=False,
            )
            response = connection.getresponse()
            response.read()
            if self.header_names.request_id in response.headers:
                raise InvalidResponseError("the response belongs to a request")
        except (
            InvalidResponseError,
            *_CONNECTION_ERRORS,
            bounded_http.ResponseTooLargeError,
        ) as error:
            connection.close()
            raise CommandLostError(repr(error), reached) from error
        self._release(connection, response)
        headers = urllib3.HTTPHeaderDict(response.headers)
        return CommandResponse(response.status, headers, reached)

    def _check_recipient(
        self, reached: reached_runs.ReachedRun, recipient: Recipient
    ) -> None:
        """Check that a run that was reached is the recipient of a command.

        A server whose id is not known yet is asked for it.  Raises
        ``OtherRunError``, or ``NotConnectedError`` if there is no answer.
        """
        named = self.reached_runs.server_id(reached)
        if named is None:
            named = self._ask_id(reached, recipient)
        expected = (recipient.server_id, recipient.reached or reached)
        if (named, reached) != expected:
            raise OtherRunError(
                f"{named} has answered, perhaps in a later run",
                reached if named == recipient.server_id else None,
            )

    def _ask_id(
        self, reached: reached_runs.ReachedRun, recipient: Recipient
    ) -> str:
        """Return the id of the server, as its health check names it.

        It is taken to be that of the recipient if the health check of the
        service names no ids.  The request has a connection of its own, which
        the server may close.  Raises ``NotConnectedError`` if there is no
        result of a health check.
        """
        connection = self._connect_for_command()
        if self.reached_runs.run_of(connection) != reached:
            connection.close()
            raise NotConnectedError("the connection has been closed")
        answer = self._get_health(connection, recipient.health_path)
        server_id = answer.server_id or recipient.server_id
        self.reached_runs.record_id(reached, server_id)
        return server_id

    def check_health(self, path: str) -> HealthAnswer:
        """Return the result of the server's health check.

        Raises ``NotConnectedError`` if there is none.
        """
        return self._get_health(self._connect_for_command(), path)

    def _get_health(
        self, connection: bounded_http.Connection, path: str
    ) -> HealthAnswer:
        """Request the health check on a new connection.

        Raises ``NotConnectedError`` if there is no result: a server that has
        too much to do rejects it like any other request.
        """
        reached = self.reached_runs.run_of(connection)
        try:
            connection.timeout = HEALTH_TIMEOUT_S
            connection.sock.settimeout(HEALTH_TIMEOUT_S)
            connection.request("GET", path, preload_content=False)
            response = connection.getresponse()
            response.read()
        except (
            *_CONNECTION_ERRORS,
            bounded_http.ResponseTooLargeError,
        ) as error:
            connection.close()
            raise NotConnectedError(repr(error)) from error
        self._release(connection, response)
        named = response.headers.get(self.header_names.named_id)
        if named is None and response.status in problems.NOT_RUN_STATUSES:
            raise NotConnectedError(
                f"no result of the health check: HTTP {response.status}"
            )
        if named is not None:
            self.reached_runs.record_id(reached, str(named))
        return HealthAnswer(
            response.status, None if named is None else str(named)
        )

    def _keep_run_reached(self, connection: bounded_http.Connection) -> None:
        """Open a spare connection to a server that closes others.

        Else nothing would show that the next connection leads to the same run.
        """
        if self.closed_by_server and not self.reached_runs.has_other(
            connection
        ):
            self._make_idle(self._connect_for_command())

    def _connect_for_command(self) -> bounded_http.Connection:
        """Return a new connection; raises ``NotConnectedError``."""
        try:
            return self._connect(CONNECT_TIMEOUT_S)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            raise NotConnectedError(repr(error)) from error

    def _release(
        self,
        connection: bounded_http.Connection,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Return a connection to the pool after a complete response.

        It is closed instead if it can't be reused, and set aside if the
        response is a refusal: the server may send it again, as that of a later
        request.
        """
        if not _reusable(response):
            self.closed_by_server = True
            connection.close()
        elif self._is_refusal(response):
            self._keep_refused(connection)
        else:
            self._make_idle(connection)

    def _keep_refused(self, connection: bounded_http.Connection) -> None:
        """Keep a connection open until the next refusal."""
        ended: bounded_http.Connection | None = connection
        with self.lock:
            if not self.closed:
                ended, self.refused = self.refused, connection
        if ended is not None:
            ended.close()

    def _make_idle(self, connection: bounded_http.Connection) -> None:
        """Return a connection to the pool; close it if the pool is closed."""
        with self.lock:
            if not self.closed:
                self.idle.append(_IdleConnection(connection, self.time_now()))
                return
        connection.close()

    def close(self) -> None:
        """Close idle connections; those in use close after their response."""
        with self.lock:
            self.closed = True
            idle, self.idle = self.idle, []
            refused, self.refused = self.refused, None
        for entry in idle:
            entry.connection.close()
        if refused is not None:
            refused.close()

    def _reject(
        self, reason: verdicts.Reason, error: Exception | None = None
    ) -> http_messages.Response:
        """Return a rejection with the verdict NOT_RUN."""
        detail = "" if error is None else repr(error)
        return http_messages.rejection(reason, self.member, detail=detail)

    def _reject_may_have_run(
        self, reason: verdicts.Reason, error: Exception
    ) -> http_messages.Response:
        """Return a rejection with the verdict MAY_HAVE_RUN."""
        return http_messages.rejection(
            reason,
            self.member,
            verdicts.Verdict.MAY_HAVE_RUN,
            detail=repr(error),
        )


class CommandNotSentError(Exception):
    """No byte of a command has reached the server."""


class NotConnectedError(CommandNotSentError):
    """No connection to the server could be opened for a command."""


class OtherRunError(CommandNotSentError):
    """Another run of the server may have answered than a command is for.

    ``reached`` is that run if it has the same id, else None.
    """

    def __init__(
        self, message: str, reached: reached_runs.ReachedRun | None
    ) -> None:
        super().__init__(message)
        self.reached = reached


class CommandLostError(Exception):
    """A command got no response: it may be executed now, later or never.

    ``reached`` is the run of the server that it was written to.
    """

    def __init__(self, message: str, reached: reached_runs.ReachedRun) -> None:
        super().__init__(message)
        self.reached = reached


def _connect_timeout_s(left_s: float) -> float:
    """Return the timeout for connecting, with time left to report a failure.

    The request has not run then, and its caller should be told so in time.
    """
    usable_s = left_s - server_queue.REFUSAL_MARGIN_S
    return min(CONNECT_TIMEOUT_S, max(MIN_TIMEOUT_S, usable_s))


def _connection_refused(error: Exception) -> bool:
    """Return whether nothing listened at the server's address.

    This is no reason to believe that the server has ended: it may hold its
    keys and listen again.
    """
    return isinstance(error.__cause__, ConnectionRefusedError)


def _usable(connection: bounded_http.Connection) -> bool:
    """Return whether an idle connection is open and has nothing to read.

    There is something to read if the server has closed the connection or has
    sent more than one response to a request.
    """
    if connection.is_closed:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return not poll.poll(0)


def _reusable(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the connection can be used for another request.

    This requires HTTP/1.1 (version 11) and a response that ends without the
    connection being closed.
    """
    headers = response.headers
    framed = "content-length" in headers or "transfer-encoding" in headers
    closing = headers.get("Connection", "").lower() == "close"
    return framed and not closing and response.version == 11
