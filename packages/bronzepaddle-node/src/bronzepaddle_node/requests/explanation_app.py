"""HTTP interface of the explanations, on the port of the readiness checks.

Every process has that port, and only operators and the platform reach it.
"""

import collections.abc
import typing
import urllib.parse

import cherrypy
import msgspec
from bronzepaddle import status
from bronzepaddle_callers import streaming_app

Explain: typing.TypeAlias = collections.abc.Callable[
    [status.RouteQuestion], status.RouteExplanation
]


class ExplanationApp:
    """CherryPy handlers below ``/bronzepaddle``."""

    def __init__(self, explain: Explain) -> None:
        self.explain = explain

    @streaming_app.exposed
    def route(self) -> bytes:
        """Return where a request would be sent now; 400 if it is invalid."""
        # The HTTP server leaves queries unparsed.
        fields = dict(
            urllib.parse.parse_qsl(cherrypy.serving.request.query_string)
        )
        try:
            question = msgspec.convert(
                fields, status.RouteQuestion, strict=False
            )
        except msgspec.ValidationError as error:
            raise cherrypy.HTTPError(400, str(error)) from error
        headers = cherrypy.serving.response.headers
        headers["Content-Type"] = "application/json"
        return msgspec.json.encode(self.explain(question))
