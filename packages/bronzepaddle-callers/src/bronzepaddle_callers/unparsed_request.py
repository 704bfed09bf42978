"""CherryPy request whose query, cookies and headers are not parsed.

The applications pass these on as they are.  CherryPy would reject a request
whose query or cookies it can't decode, and pass the parameters of a query to
the handler as arguments, some of which it doesn't take.
"""

import cherrypy._cprequest


class Request(cherrypy._cprequest.Request):  # type: ignore[misc]
    """A request of which CherryPy interprets only the ``Host`` header.

    ``header_list`` and the WSGI environment contain all of it.
    """

    header_list: list[tuple[str, str]]

    def process_query_string(self) -> None:
        """Leave ``params`` empty."""

    def process_headers(self) -> None:
        """Set ``headers`` to ``Host`` and ``base`` to a URL with its value."""
        received = self.header_list
        self.header_list = [
            (name, value) for name, value in received if name.lower() == "host"
        ]
        try:
            super().process_headers()
        finally:
            self.header_list = received
