"""Sends requests to the backend server and returns streamed responses.

Used in a cell.  ``Dispatcher.send`` must be called only while the request
holds one of the server's slots.  The verdict of a response states whether
the request ran: it is NOT_RUN only if no byte can have reached the server, or
if the server itself reports that it refused the request.
"""

import collections.abc
import math
import socket
import time
import typing

import urllib3
from bronzepaddle import clocks, http_messages, ids, strict_http, verdicts

REQUEST_ID_HEADER: typing.Final = "Bronzepaddle-Request-Id"
"""Id of a request; a backend server echoes it in each response."""

SLOT_HEADER: typing.Final = "Bronzepaddle-Slot"
TOKEN_HEADER: typing.Final = "Bronzepaddle-Token"
DEADLINE_MS_HEADER: typing.Final = "Bronzepaddle-Deadline-Ms"
REFUSED_HEADER: typing.Final = "Bronzepaddle-Refused"
"""Set by a backend server on the response to a request that it did not run.

``grant`` if it has no valid grant for the request's token; any other value
means that it has no capacity.
"""

REFUSED_GRANT: typing.Final = "grant"
"""Value of ``REFUSED_HEADER`` for a request without a valid grant."""

CONNECT_TIMEOUT_S: typing.Final = 0.5
PROBE_DELAYS_S: typing.Final = (0.0, 0.02, 0.08)
"""Pause before each of the connection attempts that probe a server."""

STALL_TIMEOUT_S: typing.Final = 10.0
"""Longest pause within a response body."""


class InvalidResponseError(Exception):
    """A response can't be that to the request."""


class Dispatcher:
    """The connections to one backend server; thread-safe."""

    def __init__(
        self,
        member: ids.MemberId,
        host: str,
        port: int,
        max_connections: int,
        clock: clocks.Clock,
    ) -> None:
        self.member = member
        self.clock = clock
        self.pool = strict_http.Pool(
            host, port, maxsize=max_connections, block=True
        )

    def send(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        token: ids.Token | None,
    ) -> http_messages.Response:
        """Send a request and return the response, or a rejection if it fails.

        ``token`` is the fencing token of the request's hash slot; None sends
        none.  Reading the response body may raise ``IncompleteBodyError``.
        """
        left_s = request.deadline - self.clock.now()
        if left_s <= 0:
            return http_messages.rejection(
                verdicts.Reason.DEADLINE, self.member
            )
        try:
            response = self._exchange(request, body, token, left_s)
        except _NOT_SENT as error:
            return http_messages.rejection(
                verdicts.Reason.CONNECT_FAILED, self.member, detail=repr(error)
            )
        except urllib3.exceptions.TimeoutError as error:
            return self._reject_may_have_run(verdicts.Reason.DEADLINE, error)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._reject_may_have_run(
                verdicts.Reason.BACKEND_LOST, error
            )
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed != request.request_id:
            response.close()
            return self._reject_may_have_run(
                verdicts.Reason.TRUNCATED,
                InvalidResponseError(
                    f"the response belongs to request {echoed}"
                ),
            )
        return self._to_response(response)

    def stays_reachable(self) -> bool:
        """Return whether the server still accepts connections.

        Probes several times, because a terminating process closes its sockets
        one by one, not necessarily the listening socket first.
        """
        for pause_s in PROBE_DELAYS_S:
            time.sleep(pause_s)
            try:
                probe = socket.create_connection(
                    (self.pool.host, self.pool.port), CONNECT_TIMEOUT_S
                )
            except OSError:
                return False
            probe.close()
        return True

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()

    def _exchange(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        token: ids.Token | None,
        left_s: float,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response, its body still unread."""
        headers = urllib3.HTTPHeaderDict(request.headers)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers[DEADLINE_MS_HEADER] = str(int(left_s * 1000))
        if token is not None:
            headers[SLOT_HEADER] = str(request.slot)
            headers[TOKEN_HEADER] = str(token)
        has_body = request.body_length != 0
        if request.body_length:
            headers["Content-Length"] = str(request.body_length)
        elif not has_body and request.method not in ("GET", "HEAD"):
            headers["Content-Length"] = "0"
        return self.pool.urlopen(
            request.method,
            request.target,
            body=body if has_body else None,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
            pool_timeout=math.ceil(left_s),
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_S, left_s), read=left_s
            ),
        )

    def _to_response(
        self, response: urllib3.BaseHTTPResponse
    ) -> http_messages.Response:
        """Convert the server's response, into a rejection if it refused."""
        refused = response.headers.get(REFUSED_HEADER)
        if refused is not None:
            # The server may send the refusal again, as that of a later
            # request.
            if isinstance(response.connection, strict_http.Connection):
                response.connection.retire()
            try:
                response.read()
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return self._reject_may_have_run(
                    verdicts.Reason.BACKEND_LOST, error
                )
            reason = (
                verdicts.Reason.NOT_GRANTED
                if refused == REFUSED_GRANT
                else verdicts.Reason.SHED
            )
            return http_messages.rejection(
                reason,
                self.member,
                retry_after_s=http_messages.parse_retry_after(
                    response.headers.get("Retry-After")
                ),
                detail=refused,
            )
        return http_messages.Response(
            status=response.status,
            headers=http_messages.without_hop_by_hop(response.headers.items()),
            body=_ResponseBody(response),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.SERVED,
            server=self.member,
        )

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


_NOT_SENT: typing.Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)
"""Exceptions that urllib3 raises before it sends any byte of a request."""


class _ResponseBody:
    """The body of a response, read chunk by chunk.

    Iterating raises ``IncompleteBodyError`` if the body ends early.

    A connection is reused only after its response has been read completely.
    Closing the body early closes the connection, so that the rest of the
    response can't be taken for that of another request.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.response = response
        self.chunks = response.stream(http_messages.CHUNK_BYTES)
        self.ended = False

    def __iter__(self) -> "_ResponseBody":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self.chunks)
        except StopIteration:
            self.ended = True
            raise
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise http_messages.IncompleteBodyError(repr(error)) from error

    def close(self) -> None:
        """Close the connection if the body has not been read completely."""
        if not self.ended:
            self.response.close()
