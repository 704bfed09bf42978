"""Takes whole requests of callers, hands them on and writes their answers.

The CherryPy application reads a request to its end on a thread of its own,
gives it to ``serve`` and waits.  ``serve`` is told the caller's socket, so
that the request can be given up when the caller hangs up.
``CallerHeaderNames`` holds the headers, which differ between deployments.
"""

import collections.abc
import dataclasses
import socket
import typing

import cherrypy
import msgspec
from bronzepaddle import http_messages, ids, problems, verdicts

from bronzepaddle_callers import streaming_app

SOCKET: typing.Final = "bronzepaddle.socket"
"""Place in the WSGI environment for the caller's socket."""

NO_KEY: typing.Final = -1
"""Stands for the key of a request that has none."""


@dataclasses.dataclass(frozen=True)
class CallerHeaderNames:
    """The headers of callers' requests and of the answers to them.

    ``verdict`` and ``reason`` are empty where answers do not carry them;
    ``ignored`` are headers that a caller may not set, in lower case.
    ``status_overrides`` gives the status of refusals that have another one
    than in the product's own form.
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
    """One request as it came; ``time_left_s`` None if the caller set none."""

    request_id: ids.RequestId
    method: str
    host: str
    target: str
    path: str
    headers: http_messages.Headers
    key: int
    time_left_s: float | None
    body: bytes
    socket: socket.socket | None


Serve: typing.TypeAlias = collections.abc.Callable[
    [BufferedRequest], http_messages.Response
]


class BufferedApp:
    """The CherryPy root: every path goes to one function."""

    def __init__(
        self,
        serve: Serve,
        names: CallerHeaderNames,
        max_body_bytes: collections.abc.Callable[[], int],
    ) -> None:
        self.serve = serve
        self.names = names
        self.max_body_bytes = max_body_bytes

    @streaming_app.exposed
    def default(
        self, *_segments: str, **_query: str
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request on its own thread."""
        try:
            arrival = self._arrival()
        except streaming_app.BadRequestError as error:
            answer = http_messages.refusal(
                verdicts.Reason.BAD_REQUEST,
                ids.MemberId(""),
                detail=str(error),
            )
            return self._render(ids.RequestId(""), answer)
        except TooLargeError as error:
            answer = http_messages.refusal(
                verdicts.Reason.TOO_LARGE, ids.MemberId(""), detail=str(error)
            )
            cherrypy.serving.response.headers["Connection"] = "close"
            return self._render(ids.RequestId(""), answer)
        return self._render(arrival.request_id, self.serve(arrival))

    def _arrival(self) -> BufferedRequest:
        request = cherrypy.serving.request
        environ = request.wsgi_environ
        names = self.names
        target = environ["REQUEST_URI"]
        if not target.startswith("/"):
            raise streaming_app.BadRequestError(
                "the request target is no path"
            )
        own = {
            names.request_id.lower(): "",
            names.deadline_ms.lower(): "",
            names.key.lower(): "",
        }
        passed: list[tuple[str, str]] = []
        for name, value in request.header_list:
            lower = name.lower()
            if lower in own:
                own[lower] = value
            if lower not in names.ignored and lower != "content-length":
                passed.append((name, value))
        return BufferedRequest(
            request_id=ids.RequestId(
                own[names.request_id.lower()] or ids.new_id()
            ),
            method=request.method,
            host=environ.get("HTTP_HOST", ""),
            target=target,
            path=target.partition("?")[0],
            headers=http_messages.without_hop_by_hop(passed),
            key=_key(own[names.key.lower()]),
            time_left_s=_time_left(own[names.deadline_ms.lower()]),
            body=self._body(environ),
            socket=environ.get(SOCKET),
        )

    def _body(self, environ: dict[str, typing.Any]) -> bytes:
        """Read the body whole; raises ``TooLargeError``."""
        length = streaming_app.body_length(environ)
        if length == 0:
            return b""
        most = self.max_body_bytes()
        if length is not None and length > most:
            raise TooLargeError(f"at most {most} bytes")
        pieces = []
        read = 0
        for piece in streaming_app.body_chunks(environ["wsgi.input"], length):
            read += len(piece)
            if read > most:
                raise TooLargeError(f"at most {most} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    def _render(
        self, request_id: ids.RequestId, answer: http_messages.Response
    ) -> collections.abc.Iterable[bytes]:
        """Write an answer's status and headers; return its body."""
        response = cherrypy.serving.response
        response.status = self.names.status_overrides.get(
            answer.reason, answer.status
        )
        response.headers.pop("Content-Type", None)
        names = self.names
        for name, value in answer.headers:
            response.headers[name] = value
        if request_id:
            response.headers[names.request_id] = request_id
        if names.verdict:
            response.headers[names.verdict] = answer.verdict.value
            response.headers[names.reason] = answer.reason.value
        if answer.retry_after_s is not None:
            response.headers["Retry-After"] = f"{answer.retry_after_s:.3f}"
        if answer.reason is verdicts.Reason.SERVED:
            body = b"".join(answer.body)
        else:
            response.headers["Content-Type"] = problems.MEDIA_TYPE
            body = msgspec.json.encode(
                problems.problem(
                    answer.reason, answer.verdict, request_id, answer.detail
                )
            )
        response.headers["Content-Length"] = str(len(body))
        if cherrypy.serving.request.method == "HEAD":
            return []
        return [body]


class TooLargeError(Exception):
    """A caller's body is larger than allowed."""


def _key(value: str) -> int:
    """Return the numeric key of a request, ``NO_KEY`` if it has none."""
    if not value:
        return NO_KEY
    if not (value.isascii() and value.isdecimal()):
        raise streaming_app.BadRequestError(f"the key is no number: {value}")
    return int(value)


def _time_left(value: str) -> float | None:
    if not value:
        return None
    if not (value.isascii() and value.isdecimal()):
        raise streaming_app.BadRequestError(
            f"no number of milliseconds: {value}"
        )
    return int(value) / 1000
