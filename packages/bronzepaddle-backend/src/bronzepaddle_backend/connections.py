"""The connections to one run of the backend server beside this process.

``Connections.send`` runs on a worker thread and brings one whole answer: a
body is read to its end before anything is passed on, so that an answer that
breaks off never looks complete and a connection is reused only after a
whole answer of its own request.  A connection that showed anything odd is
closed.  ``HeaderNames`` holds the header names, which differ between
deployments.
"""

import collections.abc
import dataclasses
import http.client
import select
import socket
import threading
import typing

import urllib3
from bronzepaddle import bounded_http, http_messages, ids, problems, verdicts

CONNECT_TIMEOUT_S: typing.Final = 0.5

LEAST_TIMEOUT_S: typing.Final = 0.01
"""A socket's timeout of 0 would mean not to wait at all."""

REPEATABLE_IDLE_S: typing.Final = 4.0
"""Idle time after which a connection is not reused."""

ONCE_IDLE_S: typing.Final = 1.0
"""The same for a request that must not be repeated: the server may be
closing the connection, and the request would be lost."""

PIECE_BYTES: typing.Final = 64 * 1024

MOST_BUFFERED_BYTES: typing.Final = 64 * 1024 * 1024
"""Bytes of all answers being read from one server: a share of the memory of
the smallest VM."""

_BROKEN: typing.Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""What the library raises where a connection or an answer is broken."""


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """The headers that requests and answers of a backend server carry.

    ``not_run`` marks an answer to a request that the server did not run,
    ``signature`` its own answers; empty where a deployment has none.
    """

    request_id: str
    deadline_ms: str
    run: str
    caller_service: str
    not_run: str
    signature: str

    def own_names(self) -> frozenset[str]:
        """Return the names that only this process sets, in lower case."""
        names = (self.deadline_ms, self.run, self.caller_service)
        return frozenset(name.lower() for name in names if name)


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """One request for the backend server; ``deadline`` on our clock."""

    request_id: ids.RequestId
    caller_service: ids.ServiceName
    run_id: str
    method: str
    target: str
    headers: http_messages.Headers
    body: bytes
    deadline: float
    idempotent: bool


class Cancellation:
    """Lets another thread break a request off."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.cancelled = False
        self.connection: bounded_http.Connection | None = None

    def attach(self, connection: bounded_http.Connection) -> bool:
        """Note the connection in use; False if cancelled already."""
        with self.lock:
            self.connection = connection
            return not self.cancelled

    def detach(self) -> None:
        """Note that the connection is no longer this request's."""
        with self.lock:
            self.connection = None

    def cancel(self) -> None:
        """Break the request off: its server sees the connection close."""
        with self.lock:
            self.cancelled = True
            found = self.connection
            if found is None or found.sock is None:
                return
            try:
                found.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Closed by the other side at the same moment.
                return


class OddAnswerError(Exception):
    """What came back is not a whole answer to the request."""


@dataclasses.dataclass(frozen=True)
class _Idle:
    """A connection that may be reused, and since when it is idle."""

    connection: bounded_http.Connection
    since: float


class Connections:
    """Connections to one address; safe from any thread."""

    def __init__(
        self,
        member: ids.MemberId,
        host: str,
        port: int,
        header_names: HeaderNames,
        time_now: collections.abc.Callable[[], float],
    ) -> None:
        self.member = member
        self.host = host
        self.port = port
        self.header_names = header_names
        self.time_now = time_now
        self.lock = threading.Lock()
        self.idle: list[_Idle] = []
        self.closed = False
        # Bytes of answers that are being read now.
        self.buffered = 0

    def send(
        self, outgoing: BackendRequest, cancellation: Cancellation
    ) -> http_messages.Response:
        """Return the server's whole answer, or a refusal with its verdict."""
        left_s = outgoing.deadline - self.time_now()
        if left_s <= LEAST_TIMEOUT_S:
            return self._refuse(verdicts.Reason.TOO_LATE)
        try:
            connection = self._connect(
                REPEATABLE_IDLE_S if outgoing.idempotent else ONCE_IDLE_S,
                min(CONNECT_TIMEOUT_S, left_s),
            )
        except (OSError, urllib3.exceptions.HTTPError) as error:
            why = (
                verdicts.Reason.SERVER_ENDED
                if _nothing_listens(error)
                else verdicts.Reason.CONNECT_FAILED
            )
            return self._refuse(why, error)
        if not cancellation.attach(connection):
            connection.close()
            return self._refuse(verdicts.Reason.CANCELLED)
        try:
            return self._exchange(connection, outgoing, cancellation)
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            connection.close()
            return self._lost(self._timed_out(outgoing), error)
        except (OddAnswerError, bounded_http.ResponseTooLargeError) as error:
            connection.close()
            return self._lost(verdicts.Reason.TRUNCATED, error)
        except _BROKEN as error:
            connection.close()
            return self._lost(verdicts.Reason.BACKEND_LOST, error)
        finally:
            cancellation.detach()

    def _timed_out(self, outgoing: BackendRequest) -> verdicts.Reason:
        """Tell a request's own deadline from a connection found silent."""
        left_s = outgoing.deadline - self.time_now()
        if left_s > LEAST_TIMEOUT_S:
            return verdicts.Reason.BACKEND_LOST
        return verdicts.Reason.DEADLINE

    def _connect(
        self, longest_idle_s: float, timeout_s: float
    ) -> bounded_http.Connection:
        """Return a kept connection that still looks well, or a new one."""
        kept = self._kept(longest_idle_s)
        if kept is not None:
            return kept
        connection = bounded_http.connection(self.host, self.port, timeout_s)
        connection.connect()
        return connection

    def _kept(self, longest_s: float) -> bounded_http.Connection | None:
        now = self.time_now()
        while True:
            with self.lock:
                found = self.idle.pop() if self.idle else None
            if found is None:
                return None
            if now - found.since < longest_s and _quiet(found.connection):
                return found.connection
            found.connection.close()

    def _exchange(
        self,
        connection: bounded_http.Connection,
        outgoing: BackendRequest,
        cancellation: Cancellation,
    ) -> http_messages.Response:
        left_s = outgoing.deadline - self.time_now()
        if left_s <= LEAST_TIMEOUT_S:
            self._keep(connection)
            return self._refuse(verdicts.Reason.TOO_LATE)
        connection.timeout = left_s
        connection.sock.settimeout(left_s)
        connection.request(
            outgoing.method,
            outgoing.target,
            body=outgoing.body or None,
            headers=self._headers(outgoing, left_s),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        refusal = self._judge(outgoing, response)
        body = self._whole_body(response)
        answer = refusal or http_messages.Response(
            status=response.status,
            headers=http_messages.without_hop_by_hop(response.headers.items()),
            body=iter((body,)),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.SERVED,
            server=self.member,
        )
        cancellation.detach()
        self._give_back(connection, response)
        return answer

    def _headers(
        self, outgoing: BackendRequest, left_s: float
    ) -> urllib3.HTTPHeaderDict:
        wire = self.header_names
        headers = urllib3.HTTPHeaderDict()
        names = set()
        for name, value in outgoing.headers:
            headers.add(name, value)
            names.add(name.lower())
        headers[wire.request_id] = outgoing.request_id
        headers[wire.deadline_ms] = str(max(1, int(left_s * 1000)))
        headers[wire.run] = outgoing.run_id
        headers[wire.caller_service] = outgoing.caller_service
        for name in ("User-Agent", "Accept-Encoding"):
            if name.lower() not in names:
                # The library adds its own where the caller sent none.
                headers[name] = urllib3.util.SKIP_HEADER
        if not outgoing.body and outgoing.method not in ("GET", "HEAD"):
            headers["Content-Length"] = "0"
        return headers

    def _judge(
        self,
        outgoing: BackendRequest,
        response: urllib3.BaseHTTPResponse,
    ) -> http_messages.Response | None:
        """Return a refusal, None for an answer; reads the head only.

        Raises ``OddAnswerError`` if the answer is not ours.
        """
        wire, found = self.header_names, response.headers
        if found.get(wire.not_run) is not None or response.status == 421:
            return http_messages.refusal(
                verdicts.Reason.SHED
                if response.status != 421
                else verdicts.Reason.NOT_GRANTED,
                self.member,
                retry_after_s=seconds(found.get("Retry-After")),
                detail=f"the server answered {response.status}, not run",
            )
        echoed = found.get(wire.request_id)
        if echoed != outgoing.request_id:
            raise OddAnswerError(f"the answer is to request {echoed}")
        if found.get("Content-Encoding") is not None:
            raise OddAnswerError("the answer's body is encoded")
        signed = not wire.signature or found.get(wire.signature) is not None
        if not signed and response.status < 300:
            raise OddAnswerError("the answer is not signed")
        if response.status in problems.NOT_RUN_STATUSES:
            raise OddAnswerError(f"status {response.status}, though it ran")
        return None

    def _whole_body(self, response: urllib3.BaseHTTPResponse) -> bytes:
        """Read a body to its end, within the bound on all of them."""
        pieces: list[bytes] = []
        taken = 0
        try:
            while piece := response.read(PIECE_BYTES, decode_content=False):
                taken += len(piece)
                self._buffer(len(piece))
                pieces.append(piece)
        finally:
            self._buffer(-taken)
        return b"".join(pieces)

    def _buffer(self, count: int) -> None:
        """Count bytes of answers that are being read."""
        with self.lock:
            self.buffered += count
            if count > 0 and self.buffered > MOST_BUFFERED_BYTES:
                raise OddAnswerError("too many bytes of answers at once")

    def order(
        self, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, urllib3.HTTPHeaderDict]:
        """Send an order by ``POST``; return status and headers.

        Raises ``CommandLostError`` when it may or may not be carried out.
        """
        try:
            connection = self._connect(ONCE_IDLE_S, CONNECT_TIMEOUT_S)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            ended = _nothing_listens(error)
            raise CommandNotSentError(repr(error), ended) from error
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
        except (*_BROKEN, bounded_http.ResponseTooLargeError) as error:
            connection.close()
            raise CommandLostError(repr(error)) from error
        self._give_back(connection, response)
        return response.status, urllib3.HTTPHeaderDict(response.headers)

    def _give_back(
        self,
        connection: bounded_http.Connection,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Keep a connection after its whole answer, if it may be reused."""
        if _reusable(response):
            self._keep(connection)
        else:
            connection.close()

    def _keep(self, connection: bounded_http.Connection) -> None:
        with self.lock:
            if not self.closed:
                self.idle.append(_Idle(connection, self.time_now()))
                return
        connection.close()

    def close(self) -> None:
        """Close idle connections; those in use close after their answer."""
        with self.lock:
            self.closed = True
            idle, self.idle = self.idle, []
        for one in idle:
            one.connection.close()

    def _refuse(
        self, why: verdicts.Reason, error: Exception | None = None
    ) -> http_messages.Response:
        detail = "" if error is None else repr(error)
        return http_messages.refusal(why, self.member, detail=detail)

    def _lost(
        self, why: verdicts.Reason, error: Exception
    ) -> http_messages.Response:
        return http_messages.refusal(
            why,
            self.member,
            verdicts.Verdict.MAY_HAVE_RUN,
            detail=repr(error),
        )


class CommandNotSentError(Exception):
    """No byte of an order has reached the server.

    ``ended`` tells that nothing listens at its address any more.
    """

    def __init__(self, detail: str, ended: bool) -> None:
        super().__init__(detail)
        self.ended = ended


class CommandLostError(Exception):
    """An order has no answer: it may be carried out now, later or never."""


def _nothing_listens(error: Exception) -> bool:
    """Tell whether a connection was refused: the server has ended."""
    return isinstance(error.__cause__, ConnectionRefusedError)


def _quiet(connection: bounded_http.Connection) -> bool:
    """Tell whether a kept connection is open and has nothing to read."""
    if connection.is_closed:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return not poll.poll(0)


def _reusable(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether the connection may carry another request."""
    found = response.headers
    framed = "content-length" in found or "transfer-encoding" in found
    closing = found.get("Connection", "").lower() == "close"
    return framed and not closing and response.version == 11


def seconds(value: str | None) -> float | None:
    """Return the seconds in a ``Retry-After``, None if it has none."""
    try:
        return None if value is None else float(value)
    except ValueError:
        return None
