"""CherryPy application that reads each request of a caller completely.

A thread reads the whole request, passes it to ``serve``, waits, and writes
the returned response.  The request includes the caller's socket, so that
``serve`` can cancel it when the caller closes the connection.  The header
names, which differ between deployments, are passed as ``CallerHeaderNames``.

Each response has a verdict, which says whether the request ran at a backend
server, and a reason for it (see ``verdicts``).  The reason ``SERVED`` means
that a backend server served the request.  Every other response is an error,
whose body is a problem document.
"""

import collections.abc
import dataclasses
import socket
import typing

import cherrypy
import msgspec
from bronzepaddle import (
    held_body,
    http_messages,
    ids,
    logs,
    problems,
    verdicts,
)
from bronzepaddle.load import body_budget

from bronzepaddle_callers import request_body, streaming_app

SOCKET_KEY: typing.Final = "bronzepaddle.socket"
"""Key of the caller's socket in the WSGI environment."""

WRITER_KEY: typing.Final = "bronzepaddle.writer"
"""Key of the connection's ``CallerWriter`` in the WSGI environment."""

MAX_NUMBER: typing.Final = 10**18
"""What larger numbers count as: it fits into 64 bits."""

NO_KEY: typing.Final = -1
"""Value of ``BufferedRequest.key`` for a request without a key."""


@dataclasses.dataclass(frozen=True)
class CallerHeaderNames:
    """Names of the headers in callers' requests and in responses to them.

    ``key`` is the header with the key of a request, a number.  ``verdict`` and
    ``reason`` are empty if responses have no such headers.
    ``ignored`` lists the headers, in lower case, that are not forwarded from
    callers.  ``status_overrides`` contains the HTTP status for each reason
    whose status differs from the default of ``problems``.
    """

    request_id: str
    deadline_ms: str
    key: str
    verdict: str
    reason: str
    ignored: frozenset[str]
    status_overrides: collections.abc.Mapping[verdicts.Reason, int]


@dataclasses.dataclass(frozen=True)
class BufferedRequest:
    """A caller's request with its whole body.

    ``target`` is the path with the query, as in the request line.  ``key`` is
    ``NO_KEY`` if the request has none, ``time_left_s`` is None if the caller
    has set no deadline.  ``caller_socket`` is the connection to the caller.
    """

    request_id: ids.RequestId
    method: str
    host: str
    target: str
    path: str
    headers: http_messages.Headers
    key: int
    time_left_s: float | None
    body: bytes | memoryview
    caller_socket: socket.socket | None


Serve: typing.TypeAlias = collections.abc.Callable[
    [BufferedRequest], http_messages.Response
]
"""Returns the response to a request; called on the thread of the request."""


class BufferedApp:
    """CherryPy root that passes the requests for all paths to ``serve``.

    ``max_body_bytes`` returns the current limit on the size of a body.
    ``budget`` is the memory for bodies.
    """

    def __init__(
        self,
        serve: Serve,
        header_names: CallerHeaderNames,
        max_body_bytes: collections.abc.Callable[[], int],
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self.serve = serve
        self.header_names = header_names
        self.max_body_bytes = max_body_bytes
        self.budget = budget or body_budget.BodyBudget()

    @streaming_app.exposed
    def default(
        self, *_segments: str, **_query: str
    ) -> collections.abc.Iterable[bytes]:
        """Handle one request; called by CherryPy on a worker thread.

        The id of the process is empty in a rejection by this method, because
        the application does not know it.
        """
        try:
            request = self._read_request()
        except (
            streaming_app.BadRequestError,
            http_messages.IncompleteBodyError,
        ) as error:
            response = http_messages.rejection(
                verdicts.Reason.BAD_REQUEST,
                ids.MemberId(""),
                detail=str(error),
            )
            return self._render(ids.RequestId(""), response)
        except request_body.BodyTooLargeError as error:
            response = http_messages.rejection(
                verdicts.Reason.TOO_LARGE, ids.MemberId(""), detail=str(error)
            )
            cherrypy.serving.response.headers["Connection"] = "close"
            return self._render(ids.RequestId(""), response)
        except held_body.NoRoomError as error:
            return self._refuse_body(verdicts.Reason.MEMORY_FULL, str(error))
        except TimeoutError:
            return self._refuse_body(
                verdicts.Reason.SLOW_CALLER, "the request body came too slowly"
            )
        return self._render(request.request_id, self.serve(request))

    def _refuse_body(
        self, reason: verdicts.Reason, detail: str
    ) -> collections.abc.Iterable[bytes]:
        """Refuse a request whose body was not read, and close after it."""
        environ = cherrypy.serving.request.wsgi_environ
        id_header = self.header_names.request_id.upper().replace("-", "_")
        request_id = ids.RequestId(environ.get(f"HTTP_{id_header}", ""))
        response = http_messages.rejection(
            reason,
            ids.MemberId(""),
            retry_after_s=body_budget.RETRY_AFTER_S,
            detail=detail,
        )
        logs.body_refused(
            request_id,
            response,
            self.budget.held_bytes,
            self.budget.limit_bytes,
        )
        if reason is verdicts.Reason.MEMORY_FULL:
            request_body.discard(environ["wsgi.input"], environ[SOCKET_KEY])
        cherrypy.serving.response.headers["Connection"] = "close"
        return self._render(request_id, response)

    def _read_request(self) -> BufferedRequest:
        """Read the current request of this thread completely.

        Raises ``BadRequestError`` and the errors of ``request_body.read``.
        """
        request = cherrypy.serving.request
        environ = request.wsgi_environ
        header_names = self.header_names
        target = environ["REQUEST_URI"]
        if not target.startswith("/"):
            raise streaming_app.BadRequestError(
                "the request target must start with /"
            )
        router_headers = {
            header_names.request_id.lower(): "",
            header_names.deadline_ms.lower(): "",
            header_names.key.lower(): "",
        }
        forwarded: list[tuple[str, str]] = []
        for name, value in request.header_list:
            lower_name = name.lower()
            if lower_name in router_headers:
                router_headers[lower_name] = value
            if (
                lower_name not in header_names.ignored
                and lower_name != "content-length"
            ):
                forwarded.append((name, value))
        return BufferedRequest(
            request_id=ids.RequestId(
                router_headers[header_names.request_id.lower()] or ids.new_id()
            ),
            method=request.method,
            host=environ.get("HTTP_HOST", ""),
            target=target,
            path=target.partition("?")[0],
            headers=http_messages.without_hop_by_hop(forwarded),
            key=_parse_key(router_headers[header_names.key.lower()]),
            time_left_s=_parse_time_left_s(
                router_headers[header_names.deadline_ms.lower()]
            ),
            body=self._read_body(environ),
            caller_socket=environ.get(SOCKET_KEY),
        )

    def _read_body(self, environ: dict[str, typing.Any]) -> bytes | memoryview:
        """Return the whole body; raises the errors of ``request_body``."""
        length = streaming_app.body_length(environ)
        if length == 0:
            return b""
        return request_body.read(
            environ["wsgi.input"], length, self.max_body_bytes(), self.budget
        )

    def _render(
        self, request_id: ids.RequestId, response: http_messages.Response
    ) -> collections.abc.Iterable[bytes]:
        """Set the status and headers of a response and return its body."""
        cherrypy_response = cherrypy.serving.response
        cherrypy_response.status = self.header_names.status_overrides.get(
            response.reason, response.status
        )
        cherrypy_response.headers.pop("Content-Type", None)
        header_names = self.header_names
        for name, value in response.headers:
            cherrypy_response.headers[name] = value
        if request_id:
            cherrypy_response.headers[header_names.request_id] = request_id
        if header_names.verdict:
            cherrypy_response.headers[header_names.verdict] = (
                response.verdict.value
            )
            cherrypy_response.headers[header_names.reason] = (
                response.reason.value
            )
        if response.retry_after_s is not None:
            cherrypy_response.headers["Retry-After"] = (
                f"{response.retry_after_s:.3f}"
            )
        if response.reason is verdicts.Reason.SERVED:
            pieces = _with_size(response.body)
        else:
            cherrypy_response.headers["Content-Type"] = problems.MEDIA_TYPE
            pieces = held_body.Pieces(
                msgspec.json.encode(
                    problems.problem(
                        response.reason,
                        response.verdict,
                        request_id,
                        response.detail,
                    )
                )
            )
        cherrypy_response.headers["Content-Length"] = str(pieces.size)
        if cherrypy.serving.request.method == "HEAD":
            return []
        if pieces.size > http_messages.CHUNK_BYTES:
            # CherryPy would copy the pieces into one body.
            cherrypy_response.stream = True
            environ = cherrypy.serving.request.wsgi_environ
            environ[WRITER_KEY].body = pieces
        return pieces


def _with_size(body: collections.abc.Iterator[bytes]) -> held_body.Pieces:
    """Return the body of a response with its size."""
    if isinstance(body, held_body.Pieces):
        return body
    return held_body.Pieces(b"".join(body))


def _parse_key(value: str) -> int:
    """Return a key as a number, ``NO_KEY`` for an empty value."""
    if not value:
        return NO_KEY
    return _parse_number("the key", value)


def _parse_time_left_s(value: str) -> float | None:
    """Return a deadline in seconds from now, None for an empty value."""
    if not value:
        return None
    return _parse_number("the deadline in milliseconds", value) / 1000


def _parse_number(description: str, value: str) -> int:
    """Return a whole number, but at most ``MAX_NUMBER``.

    Raises ``BadRequestError``.
    """
    if not (value.isascii() and value.isdecimal()):
        raise streaming_app.BadRequestError(
            f"{description} is not a number: {value}"
        )
    # Python converts no text of thousands of digits.
    digits = value.lstrip("0")
    if len(digits) >= len(str(MAX_NUMBER)):
        return MAX_NUMBER
    return int(digits or 0)
