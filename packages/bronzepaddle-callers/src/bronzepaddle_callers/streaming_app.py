"""Turns an HTTP request into a ``StreamingRequest``, and an answer into HTTP.

The application below is CherryPy's; what a request means is decided by the
function it is given, which runs on the request's thread.
"""

import collections.abc
import dataclasses
import http
import typing

import cherrypy
import msgspec
from bronzepaddle import http_messages, ids, problems, verdicts

REQUEST_ID: typing.Final = "Bronzepaddle-Request-Id"
VERDICT: typing.Final = "Bronzepaddle-Verdict"
REASON: typing.Final = "Bronzepaddle-Reason"
SERVED_BY: typing.Final = "Bronzepaddle-Server"
PRIORITY: typing.Final = "Bronzepaddle-Priority"
DEADLINE_MS: typing.Final = "Bronzepaddle-Deadline-Ms"
CALLER: typing.Final = "Bronzepaddle-Caller"
IDEMPOTENCY_KEY: typing.Final = "Idempotency-Key"

FIRST_ATTEMPT: typing.Final = "Bronzepaddle-First-Attempt"
"""``yes`` is the caller's word that it never sent this key before."""

REPEATED_LINES: typing.Final = "bronzepaddle.repeated-lines"
"""Place in the WSGI environment for header lines of one name."""

ROUTER_HEADERS: typing.Final = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        VERDICT,
        REASON,
        SERVED_BY,
        PRIORITY,
        CALLER,
        FIRST_ATTEMPT,
    )
) | {"content-length", "host", "idempotency-key", DEADLINE_MS.lower()}
"""Headers of a caller that are not passed on as they came."""


@dataclasses.dataclass(frozen=True)
class StreamingRequest:
    """What one caller asks; ``length`` is None for a chunked body."""

    request_id: ids.RequestId
    caller: str
    method: str
    host: str
    target: str
    path: str
    query: str
    headers: http_messages.Headers
    router_headers: dict[str, str]
    length: int | None
    body: collections.abc.Iterator[bytes]


Serve: typing.TypeAlias = collections.abc.Callable[
    [StreamingRequest], http_messages.Response
]


class BadRequestError(Exception):
    """The request is malformed."""


_Handler = typing.TypeVar(
    "_Handler", bound=collections.abc.Callable[..., object]
)


def exposed(handler: _Handler) -> _Handler:
    """Let CherryPy answer requests by a method."""
    cherrypy.expose(handler)
    return handler


class StreamingApp:
    """The CherryPy root: every path goes to one function."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve

    @exposed
    def default(
        self, *_segments: str, **_query: str
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request on its own thread."""
        request_id = ids.RequestId(ids.new_id())
        try:
            call = _call(request_id)
        except BadRequestError as error:
            answer = http_messages.refusal(
                verdicts.Reason.BAD_REQUEST,
                ids.MemberId(""),
                detail=str(error),
            )
            return _render(request_id, answer, "GET")
        answer = self.serve(call)
        return _render(request_id, answer, call.method)


def _call(request_id: ids.RequestId) -> StreamingRequest:
    request = cherrypy.serving.request
    environ = request.wsgi_environ
    target = environ["REQUEST_URI"]
    if not target.startswith("/"):
        raise BadRequestError("the request target is no path")
    path, _, query = target.partition("?")
    length = body_length(environ)
    own: dict[str, str] = {}
    passed: list[tuple[str, str]] = []
    for name, value in request.header_list:
        if name.lower() in ROUTER_HEADERS:
            own[name.lower()] = value
        else:
            passed.append((name, value))
    return StreamingRequest(
        request_id=request_id,
        caller=own.get(CALLER.lower(), environ.get("REMOTE_ADDR", "")),
        method=request.method,
        host=environ.get("HTTP_HOST", ""),
        target=target,
        path=path,
        query=query,
        headers=http_messages.without_hop_by_hop(passed),
        router_headers=own,
        length=length,
        body=body_chunks(environ["wsgi.input"], length),
    )


def body_length(environ: dict[str, typing.Any]) -> int | None:
    """Return the length of the body, None if it comes in chunks."""
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
        return None
    value = environ.get("CONTENT_LENGTH") or "0"
    if not value.isdecimal():
        raise BadRequestError("Content-Length is no number")
    return int(value)


def body_chunks(
    stream: typing.Any, length: int | None
) -> collections.abc.Iterator[bytes]:
    """Yield the body of a request as it arrives."""
    left = length
    while left is None or left > 0:
        wanted = http_messages.CHUNK_BYTES
        if left is not None:
            wanted = min(wanted, left)
        chunk = stream.read(wanted)
        if not chunk:
            if left is None:
                return
            raise http_messages.IncompleteBodyError(
                "the caller's body ended early"
            )
        if left is not None:
            left -= len(chunk)
        yield chunk


def _render(
    request_id: ids.RequestId, answer: http_messages.Response, method: str
) -> collections.abc.Iterable[bytes]:
    """Write an answer's status and headers; return its body."""
    response = cherrypy.serving.response
    response.status = answer.status
    response.headers.pop("Content-Type", None)
    refused = answer.reason not in (
        verdicts.Reason.SERVED,
        verdicts.Reason.REPLAYED,
    )
    for name, value in answer.headers:
        response.headers[name] = value
    _repeated(response, answer.headers)
    response.headers[REQUEST_ID] = request_id
    response.headers[VERDICT] = answer.verdict.value
    response.headers[REASON] = answer.reason.value
    response.headers[SERVED_BY] = answer.server
    if answer.retry_after_s is not None:
        response.headers["Retry-After"] = str(
            max(1, round(answer.retry_after_s))
        )
    if refused:
        return [_problem(response, request_id, answer)]
    if method == "HEAD" or answer.status in (
        http.HTTPStatus.NO_CONTENT,
        http.HTTPStatus.NOT_MODIFIED,
    ):
        for _ in answer.body:
            pass
        return []
    response.stream = True
    return answer.body


def _repeated(response: typing.Any, headers: http_messages.Headers) -> None:
    """Keep every line of a header that an answer has more than once.

    CherryPy's header map holds one value a name, so these lines go around
    it: ``server`` adds them where the response starts.
    """
    names = [name.lower() for name, _ in headers]
    lines = [pair for pair in headers if names.count(pair[0].lower()) > 1]
    for name, _ in lines:
        response.headers.pop(name, None)
    cherrypy.serving.request.wsgi_environ[REPEATED_LINES] = lines


def _problem(
    response: typing.Any,
    request_id: ids.RequestId,
    answer: http_messages.Response,
) -> bytes:
    body = msgspec.json.encode(
        problems.problem(
            answer.reason, answer.verdict, request_id, answer.detail
        )
    )
    response.headers["Content-Type"] = problems.MEDIA_TYPE
    response.headers["Content-Length"] = str(len(body))
    return body
