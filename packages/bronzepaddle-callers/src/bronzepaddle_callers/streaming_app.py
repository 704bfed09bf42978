"""CherryPy application that streams requests and responses of callers.

It converts each HTTP request to a ``StreamingRequest``, passes it to
``serve`` on the thread of the request, and writes the returned response.

Each response has a verdict, which says whether the request ran at a backend
server, and a reason for it (see ``verdicts``); both are sent in headers.
"""

import collections.abc
import dataclasses
import http
import typing

import cherrypy
import msgspec
from bronzepaddle import http_messages, ids, problems, verdicts

REQUEST_ID_HEADER: typing.Final = "Bronzepaddle-Request-Id"
VERDICT_HEADER: typing.Final = "Bronzepaddle-Verdict"
REASON_HEADER: typing.Final = "Bronzepaddle-Reason"
SERVED_BY_HEADER: typing.Final = "Bronzepaddle-Server"
PRIORITY_HEADER: typing.Final = "Bronzepaddle-Priority"
DEADLINE_MS_HEADER: typing.Final = "Bronzepaddle-Deadline-Ms"
CALLER_HEADER: typing.Final = "Bronzepaddle-Caller"
IDEMPOTENCY_KEY_HEADER: typing.Final = "Idempotency-Key"

FIRST_ATTEMPT_HEADER: typing.Final = "Bronzepaddle-First-Attempt"
"""Header by which a caller states that its idempotency key is new.

Its value is then ``yes``: the caller has never sent this key before.
"""

REPEATED_HEADERS_KEY: typing.Final = "bronzepaddle.repeated-lines"
"""Key in the WSGI environment of the headers that occur more than once."""

MAX_LENGTH_DIGITS: typing.Final = 18
"""Digits of a Content-Length that fits into 64 bits."""

ROUTER_HEADERS: typing.Final = frozenset(
    name.lower()
    for name in (
        REQUEST_ID_HEADER,
        VERDICT_HEADER,
        REASON_HEADER,
        SERVED_BY_HEADER,
        PRIORITY_HEADER,
        CALLER_HEADER,
        FIRST_ATTEMPT_HEADER,
    )
) | {"content-length", "host", "idempotency-key", DEADLINE_MS_HEADER.lower()}
"""Request headers, in lower case, that are not forwarded as they are."""


@dataclasses.dataclass(frozen=True)
class StreamingRequest:
    """A caller's request, whose body is read while it is processed.

    ``headers`` are forwarded to the backend server, ``router_headers`` are
    for the router, by their names in lower case.  ``body_length`` is the size
    of the body in bytes, None if it is chunked.
    """

    request_id: ids.RequestId
    caller: str
    method: str
    host: str
    target: str
    path: str
    query: str
    headers: http_messages.Headers
    router_headers: dict[str, str]
    body_length: int | None
    body: collections.abc.Iterator[bytes]


Serve: typing.TypeAlias = collections.abc.Callable[
    [StreamingRequest], http_messages.Response
]
"""Returns the response to a request; called on the thread of the request."""


class BadRequestError(Exception):
    """The request is malformed."""


_Handler = typing.TypeVar(
    "_Handler", bound=collections.abc.Callable[..., object]
)


def exposed(handler: _Handler) -> _Handler:
    """Mark a method as a handler of requests for CherryPy; a decorator."""
    cherrypy.expose(handler)
    return handler


class StreamingApp:
    """CherryPy root that passes the requests for all paths to ``serve``."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve

    @exposed
    def default(
        self, *_segments: str, **_query: str
    ) -> collections.abc.Iterable[bytes]:
        """Handle one request; called by CherryPy on a worker thread.

        A rejection by this method names no member: the application does not
        know the name of its process.
        """
        request_id = ids.RequestId(ids.new_id())
        try:
            request = _read_request(request_id)
        except BadRequestError as error:
            response = http_messages.rejection(
                verdicts.Reason.BAD_REQUEST,
                ids.MemberId(""),
                detail=str(error),
            )
            return _render(request_id, response, "GET")
        response = self.serve(request)
        return _render(request_id, response, request.method)


def _read_request(request_id: ids.RequestId) -> StreamingRequest:
    """Return the current request of this thread; its body is not read yet.

    Raises ``BadRequestError``.
    """
    request = cherrypy.serving.request
    environ = request.wsgi_environ
    target = environ["REQUEST_URI"]
    if not target.startswith("/"):
        raise BadRequestError("the request target must start with /")
    path, _, query = target.partition("?")
    length = body_length(environ)
    router_headers: dict[str, str] = {}
    forwarded: list[tuple[str, str]] = []
    for name, value in request.header_list:
        if name.lower() in ROUTER_HEADERS:
            router_headers[name.lower()] = value
        else:
            forwarded.append((name, value))
    return StreamingRequest(
        request_id=request_id,
        caller=router_headers.get(
            CALLER_HEADER.lower(), environ.get("REMOTE_ADDR", "")
        ),
        method=request.method,
        host=environ.get("HTTP_HOST", ""),
        target=target,
        path=path,
        query=query,
        headers=http_messages.without_hop_by_hop(forwarded),
        router_headers=router_headers,
        body_length=length,
        body=body_chunks(environ["wsgi.input"], length),
    )


def body_length(environ: dict[str, typing.Any]) -> int | None:
    """Return the length of a request body, None if it is chunked.

    Raises ``BadRequestError`` for an invalid ``Content-Length``.
    """
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
        return None
    value = environ.get("CONTENT_LENGTH") or "0"
    is_number = value.isascii() and value.isdecimal()
    if not is_number or len(value) > MAX_LENGTH_DIGITS:
        raise BadRequestError("Content-Length is not a valid number")
    return int(value)


def body_chunks(
    stream: typing.Any, length: int | None
) -> collections.abc.Iterator[bytes]:
    """Yield the body of a request as it arrives.

    Raises ``IncompleteBodyError`` if it is shorter than ``length``, or if it
    is chunked and malformed.
    """
    remaining = length
    while remaining is None or remaining > 0:
        size = http_messages.CHUNK_BYTES
        if remaining is not None:
            size = min(size, remaining)
        chunk = stream.read(size)
        if not chunk:
            if remaining is None:
                return
            raise http_messages.IncompleteBodyError(
                "the request body ended early"
            )
        if remaining is not None:
            remaining -= len(chunk)
        yield chunk


def _render(
    request_id: ids.RequestId, response: http_messages.Response, method: str
) -> collections.abc.Iterable[bytes]:
    """Set the status and headers of a response and return its body.

    The body of an error is a problem document.
    """
    cherrypy_response = cherrypy.serving.response
    cherrypy_response.status = response.status
    cherrypy_response.headers.pop("Content-Type", None)
    is_error = response.reason not in (
        verdicts.Reason.SERVED,
        verdicts.Reason.REPLAYED,
    )
    for name, value in response.headers:
        cherrypy_response.headers[name] = value
    _set_repeated_headers(cherrypy_response, response.headers)
    cherrypy_response.headers[REQUEST_ID_HEADER] = request_id
    cherrypy_response.headers[VERDICT_HEADER] = response.verdict.value
    cherrypy_response.headers[REASON_HEADER] = response.reason.value
    cherrypy_response.headers[SERVED_BY_HEADER] = response.server
    if response.retry_after_s is not None:
        cherrypy_response.headers["Retry-After"] = str(
            max(1, round(response.retry_after_s))
        )
    if is_error:
        return [_problem_body(cherrypy_response, request_id, response)]
    if method == "HEAD" or response.status in (
        http.HTTPStatus.NO_CONTENT,
        http.HTTPStatus.NOT_MODIFIED,
    ):
        for _ in response.body:
            pass
        return []
    cherrypy_response.stream = True
    return response.body


def _set_repeated_headers(
    cherrypy_response: typing.Any, headers: http_messages.Headers
) -> None:
    """Preserve each occurrence of headers that occur more than once.

    CherryPy's header map has only one value for each name.  These headers
    are therefore stored in the WSGI environment, and ``server`` adds them to
    the response.
    """
    names = [name.lower() for name, _ in headers]
    repeated = [pair for pair in headers if names.count(pair[0].lower()) > 1]
    for name, _ in repeated:
        cherrypy_response.headers.pop(name, None)
    cherrypy.serving.request.wsgi_environ[REPEATED_HEADERS_KEY] = repeated


def _problem_body(
    cherrypy_response: typing.Any,
    request_id: ids.RequestId,
    response: http_messages.Response,
) -> bytes:
    """Return the problem document of an error, and set its headers."""
    body = msgspec.json.encode(
        problems.problem(
            response.reason, response.verdict, request_id, response.detail
        )
    )
    cherrypy_response.headers["Content-Type"] = problems.MEDIA_TYPE
    cherrypy_response.headers["Content-Length"] = str(len(body))
    return body
