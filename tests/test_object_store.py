"""The store's calls in the platform's form, against a scripted server."""

import asyncio
import collections.abc
import threading
import typing

import msgspec
import pytest
from bronzepaddle import ids
from bronzepaddle_callers import server
from bronzepaddle_platform import object_store
from bronzepaddle_store import http_calls, store

HISTORY_FROM: typing.Final = 40
"""Revision before which the scripted store has forgotten its history."""


class Scripted:
    """A store that holds one object and has forgotten early history."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.status = 200
        self.http = server.BackgroundServer(
            ("127.0.0.1", 0), self.serve, numthreads=4, shutdown_timeout=1
        )
        self.http.start_threads()

    @property
    def address(self) -> str:
        """Return where the store is."""
        return "{}:{}".format(*self.http.bind_addr[:2])

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        query = environ["QUERY_STRING"]
        method = environ["REQUEST_METHOD"]
        self.calls.append(f"{method} {environ['PATH_INFO']} {query}")
        environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        found = {
            "metadata": {"name": "main", "revision": 7},
            "spec": {"version": "1"},
        }
        status, body = self.status, typing.cast(object, found)
        if "watch=" in query:
            since = int(query.partition("watch=")[2].partition("&")[0])
            gone = since < HISTORY_FROM
            status = 410 if gone else 200
            body = {"events": [], "current_rev": 50}
        elif method == "GET" and environ["PATH_INFO"].endswith("config"):
            body = {"items": [found], "has_more": False, "current_rev": 44}
        start(f"{status} Said", [("Content-Type", "application/json")])
        return [msgspec.json.encode(body)]


@pytest.fixture
def scripted() -> collections.abc.Iterator[Scripted]:
    found = Scripted()
    yield found
    threading.Thread(target=found.http.stop, daemon=True).start()


def connected(scripted: Scripted) -> object_store.ObjectStore:
    return object_store.ObjectStore(
        scripted.address, 5.0, http_calls.CallBudget(100)
    )


def test_watch_goes_on_after_lost_history(scripted: Scripted) -> None:
    """It asked for the same lost history for ever, without a pause."""
    found = connected(scripted)
    version = ids.ObjectVersion(7)

    async def play() -> None:
        for _ in range(3):
            assert await found.watch("config/main", version, 0.1) is None

    asyncio.run(play())
    found.close()
    watches = [call for call in scripted.calls if "watch=" in call]
    assert [one.partition("watch=")[2][:2] for one in watches] == [
        "7&",
        "44",
        "50",
    ]


def test_lost_history_may_hide_a_newer_version(scripted: Scripted) -> None:
    found = connected(scripted)
    newer = asyncio.run(found.watch("config/main", ids.ObjectVersion(3), 0.1))
    found.close()
    assert newer == store.StoredObject(
        ids.ObjectVersion(7), b'{"version":"1"}'
    )


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (409, store.ConflictError),
        (404, store.ConflictError),
        (429, store.StoreUnavailableError),
        (503, store.StoreUnavailableError),
        (500, store.UnknownOutcomeError),
    ],
)
def test_what_became_of_a_write(
    scripted: Scripted, status: int, error: type[Exception]
) -> None:
    scripted.status = status
    found = connected(scripted)
    with pytest.raises(error):
        asyncio.run(found.put("ownership/shop", b"{}", ids.ObjectVersion(6)))
    found.close()
