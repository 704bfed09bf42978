"""The platform's object API over HTTP.

The wire form is the one that the stand-in of this repository speaks:
``GET /objects/NAME`` answers the body with its version as ``ETag``; ``PUT``
takes ``If-Match`` (or ``If-None-Match: *`` for a new object); ``GET`` with
``newer-than`` waits, and a name that ends in a slash lists a folder.  Another
platform needs another adapter, nothing else.
"""

import urllib.parse

import msgspec
import urllib3
from bronzepaddle import ids

from bronzepaddle_store import http_calls, store


class ListedObject(msgspec.Struct, frozen=True):
    """One object of a folder, as a list of them shows it."""

    version: int
    body: bytes


class HttpStore:
    """The store, spoken to in the form above."""

    def __init__(
        self, url: str, timeout_s: float, budget: http_calls.CallBudget
    ) -> None:
        self.url = url.rstrip("/")
        self.calls = http_calls.HttpCalls(timeout_s, budget)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the newest version of an object, or None."""
        response = await self.calls.call("GET", self._object_url(name))
        return _stored(response)

    async def put(
        self, name: str, body: bytes, replaces: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write an object if its version is still ``replaces``."""
        if len(body) > store.MOST_BYTES:
            raise store.StoreUnavailableError(
                f"{name}: {len(body)} bytes, too large"
            )
        match replaces:
            case store.ANY_VERSION:
                headers = {"If-Match": "*"}
            case ids.NO_VERSION:
                headers = {"If-None-Match": "*"}
            case _:
                headers = {"If-Match": f'"{replaces}"'}
        response = await self.calls.call(
            "PUT", self._object_url(name), body=body, headers=headers
        )
        if response.status == 412:
            raise store.ConflictError(f"{name}: version {replaces} is old")
        if response.status >= 500:
            # The platform may have failed after the write took effect.
            raise store.UnknownOutcomeError(f"{name}: HTTP {response.status}")
        if response.status not in (200, 201):
            raise store.StoreUnavailableError(
                f"{name}: HTTP {response.status}"
            )
        return _version(response)

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Return all objects of a folder, by the last part of their name."""
        response = await self.calls.call("GET", self._object_url(folder + "/"))
        if response.status != 200:
            raise store.StoreUnavailableError(
                f"{folder}: HTTP {response.status}"
            )
        try:
            found = msgspec.json.decode(
                response.data, type=dict[str, ListedObject]
            )
        except msgspec.DecodeError as error:
            raise store.StoreUnavailableError(f"{folder}: {error}") from error
        return {
            name.removeprefix(folder + "/"): store.StoredObject(
                ids.ObjectVersion(one.version), one.body
            )
            for name, one in found.items()
        }

    async def watch(
        self, name: str, newer_than: ids.ObjectVersion, timeout_s: float
    ) -> store.StoredObject | None:
        """Wait for a newer version; None when the time is over."""
        query = urllib.parse.urlencode(
            {"newer-than": newer_than, "timeout-s": timeout_s}
        )
        response = await self.calls.call(
            "GET",
            f"{self._object_url(name)}?{query}",
            timeout_s=timeout_s + self.calls.timeout_s,
        )
        return None if response.status == 304 else _stored(response)

    def close(self) -> None:
        """Let the connections go."""
        self.calls.close()

    def _object_url(self, name: str) -> str:
        return f"{self.url}/objects/{urllib.parse.quote(name)}"


def _stored(response: urllib3.BaseHTTPResponse) -> store.StoredObject | None:
    if response.status == 404:
        return None
    if response.status != 200:
        raise store.StoreUnavailableError(f"HTTP {response.status}")
    return store.StoredObject(_version(response), response.data)


def _version(response: urllib3.BaseHTTPResponse) -> ids.ObjectVersion:
    tag = response.headers.get("ETag", "").strip('"')
    if not tag.isdecimal():
        raise store.StoreUnavailableError(f"no version in ETag {tag!r}")
    return ids.ObjectVersion(int(tag))
