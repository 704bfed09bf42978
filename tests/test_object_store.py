"""Tests of the client of the platform's store, against a scripted server."""

import asyncio
import collections.abc
import threading
import typing

import msgspec
import pytest
from bronzepaddle import ids, store_versions
from bronzepaddle_callers import server
from bronzepaddle_platform import object_store
from bronzepaddle_store import http_calls, store

OLDEST_KEPT_REVISION: typing.Final = 40
"""The scripted store has discarded the history before this revision."""


class ScriptedStore:
    """A store with one object and without its early history.

    Writes are answered with ``status``, and all calls with the next era if
    that is not empty.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.status = 200
        # The eras of the next answers; the last one stays.
        self.eras = [""]
        self.http = server.BackgroundServer(
            ("127.0.0.1", 0), self.serve, numthreads=4, shutdown_timeout=1
        )
        self.http.start_threads()

    @property
    def address(self) -> str:
        """Return the address of the store."""
        return "{}:{}".format(*self.http.bind_addr[:2])

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        query = environ["QUERY_STRING"]
        method = environ["REQUEST_METHOD"]
        self.calls.append(f"{method} {environ['PATH_INFO']} {query}")
        environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        document = {
            "metadata": {"name": "main", "revision": 7},
            "spec": {"version": "1"},
        }
        status, body = self.status, typing.cast(object, document)
        if "watch=" in query:
            watched_revision = int(
                query.partition("watch=")[2].partition("&")[0]
            )
            history_discarded = watched_revision < OLDEST_KEPT_REVISION
            status = 410 if history_discarded else 200
            body = {"events": [], "current_rev": 50}
        elif method == "GET" and environ["PATH_INFO"].endswith("config"):
            body = {"items": [document], "has_more": False, "current_rev": 44}
        headers = [("Content-Type", "application/json")]
        era = self.eras.pop(0) if len(self.eras) > 1 else self.eras[0]
        if era:
            headers.append(("Store-Era", era))
        start_response(f"{status} Said", headers)
        return [msgspec.json.encode(body)]


@pytest.fixture
def scripted() -> collections.abc.Iterator[ScriptedStore]:
    scripted_store = ScriptedStore()
    yield scripted_store
    threading.Thread(target=scripted_store.http.stop, daemon=True).start()


class PagedStore(ScriptedStore):
    """A store of two objects, which it lists on two pages.

    The first object changes between the pages, to revision ``CHANGED``.  The
    second page is answered with ``second_status``.
    """

    CHANGED: typing.Final = 45
    LISTED_AT: typing.Final = (44, 46)

    def __init__(self) -> None:
        super().__init__()
        self.second_status = 200

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        query = environ["QUERY_STRING"]
        self.calls.append(f"{environ['PATH_INFO']} {query}")
        status = 200
        if "watch=" in query:
            revision = int(query[len("watch=") :].split("&")[0])
            body = self.changes_since(revision)
            status = 410 if revision < OLDEST_KEPT_REVISION else 200
        elif query:
            body, status = self.page(1, "main"), self.second_status
        else:
            body = self.page(0, "first")
        start_response(
            f"{status} Said", [("Content-Type", "application/json")]
        )
        return [msgspec.json.encode(body)]

    def page(self, number: int, name: str) -> dict[str, typing.Any]:
        """Return a page with one object, which has not changed yet."""
        return {
            "items": [self.object(name, 43)],
            "has_more": number == 0,
            "current_rev": self.LISTED_AT[number],
        }

    def changes_since(self, revision: int) -> dict[str, typing.Any]:
        """Return the change of the first object if it is newer."""
        event = {
            "object": self.object("first", self.CHANGED),
            "tombstone": False,
        }
        return {
            "events": [event] if revision < self.CHANGED else [],
            "current_rev": self.LISTED_AT[1],
        }

    def object(self, name: str, revision: int) -> dict[str, typing.Any]:
        """Return an object of a revision."""
        return {
            "metadata": {"name": name, "revision": revision},
            "spec": {"version": str(revision)},
        }


@pytest.fixture
def paged() -> collections.abc.Iterator[PagedStore]:
    paged_store = PagedStore()
    yield paged_store
    threading.Thread(target=paged_store.http.stop, daemon=True).start()


def version_of(revision: int) -> store_versions.StoreVersion:
    return store_versions.of_first_era(ids.ObjectVersion(revision))


def connect(scripted: ScriptedStore) -> object_store.ObjectStore:
    return object_store.ObjectStore(
        scripted.address, 5.0, http_calls.CallBudget(100)
    )


def test_watch_continues_after_history_is_discarded(
    scripted: ScriptedStore,
) -> None:
    """Guards against an endless loop of requests for discarded history.

    The client repeated the same request without a pause.
    """
    client = connect(scripted)
    version = version_of(7)

    async def watch_three_times() -> None:
        for _ in range(3):
            assert await client.watch("config/main", version, 0.1) is None

    asyncio.run(watch_three_times())
    client.close()
    watches = [call for call in scripted.calls if "watch=" in call]
    assert [call.partition("watch=")[2][:2] for call in watches] == [
        "7&",
        "44",
        "50",
    ]


def test_newer_version_is_found_after_history_is_discarded(
    scripted: ScriptedStore,
) -> None:
    client = connect(scripted)
    newer = asyncio.run(client.watch("config/main", version_of(3), 0.1))
    client.close()
    assert newer == store.StoredObject(version_of(7), b'{"version":"1"}')


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
def test_failed_write_is_classified_by_status(
    scripted: ScriptedStore, status: int, error: type[Exception]
) -> None:
    scripted.status = status
    client = connect(scripted)
    with pytest.raises(error):
        asyncio.run(client.put("ownership/shop", b"{}", version_of(6)))
    client.close()


def test_version_names_the_era_of_its_answer(scripted: ScriptedStore) -> None:
    client = connect(scripted)
    scripted.eras = ["2"]
    stored = asyncio.run(client.get("config/main"))
    assert stored is not None
    assert stored.version == store_versions.StoreVersion(
        ids.StoreEra(2), ids.ObjectVersion(7)
    )
    assert stored.version > version_of(99)


def test_late_answer_of_an_earlier_era_is_dropped(
    scripted: ScriptedStore,
) -> None:
    client = connect(scripted)
    scripted.eras = ["2", "1"]
    asyncio.run(client.get("config/main"))
    with pytest.raises(store.StoreUnavailableError):
        asyncio.run(client.get("config/main"))
    with pytest.raises(store.UnknownOutcomeError):
        asyncio.run(client.put("config/main", b"{}", store.ANY_VERSION))
    assert client.eras.era == 2


@pytest.mark.parametrize("text", ["-1", "x", "1.5", "9" * 30])
def test_answer_of_unreadable_era_is_dropped(
    scripted: ScriptedStore, text: str
) -> None:
    client = connect(scripted)
    scripted.eras = [text]
    with pytest.raises(store.StoreUnavailableError):
        asyncio.run(client.get("config/main"))


def test_write_replaces_no_version_of_another_era(
    scripted: ScriptedStore,
) -> None:
    """A version of an earlier era is neither sent nor taken for replaced."""
    client = connect(scripted)
    scripted.eras = ["1", "2"]
    stored = asyncio.run(client.get("config/main"))
    assert stored is not None
    with pytest.raises(store.UnknownOutcomeError):
        asyncio.run(client.put("config/main", b"{}", stored.version))
    calls = len(scripted.calls)
    with pytest.raises(store.ConflictError):
        asyncio.run(client.put("config/main", b"{}", stored.version))
    assert len(scripted.calls) == calls


def test_watch_starts_anew_in_a_new_era(scripted: ScriptedStore) -> None:
    """The kind is listed, whether the era rises before or with the answer."""
    client = connect(scripted)
    scripted.eras = ["1", "2"]
    first = asyncio.run(client.watch("config/main", version_of(60), 0.1))
    assert first is not None and first.version.era == 2
    lists = [call for call in scripted.calls if "watch=" not in call]
    assert len(lists) == 1
    scripted.eras = ["3"]
    asyncio.run(client.get("config/main"))
    calls = len(scripted.calls)
    second = asyncio.run(client.watch("config/main", first.version, 0.1))
    assert second is not None and second.version.era == 3
    assert not any("watch=" in call for call in scripted.calls[calls:])


def test_change_between_two_pages_is_told(paged: PagedStore) -> None:
    """Guards against a watch from the last page, which hid such a change."""
    client = connect(paged)
    listed = asyncio.run(client.watch("config/first", version_of(7), 0.1))
    assert listed is not None and listed.version == version_of(43)
    newer = asyncio.run(client.watch("config/first", version_of(43), 0.1))
    client.close()
    assert newer is not None and newer.version == version_of(paged.CHANGED)


def test_failed_page_hides_no_change(paged: PagedStore) -> None:
    """Guards against a watch from the first page of a listing that failed."""
    client = connect(paged)
    paged.second_status = 503
    with pytest.raises(store.StoreUnavailableError):
        asyncio.run(client.watch("config/main", version_of(7), 0.1))
    paged.second_status = 200
    newer = asyncio.run(client.watch("config/main", version_of(7), 0.1))
    client.close()
    assert newer is not None and newer.version == version_of(43)


def test_watch_of_one_object_hides_no_change_of_another(
    paged: PagedStore,
) -> None:
    """Guards against one position for all watches of a kind."""
    client = connect(paged)
    asyncio.run(client.watch("config/main", version_of(43), 0.1))
    newer = asyncio.run(client.watch("config/first", version_of(43), 0.1))
    client.close()
    assert newer is not None and newer.version == version_of(paged.CHANGED)
