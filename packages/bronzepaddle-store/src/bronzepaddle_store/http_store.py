"""The platform's object store over HTTP.

The protocol is that of this repository's stand-in for the platform:
``GET /objects/NAME`` returns the body with its version as ``ETag``; ``PUT``
takes ``If-Match`` (or ``If-None-Match: *`` for a new object); ``GET`` with
``newer-than`` waits for a newer version, and a name that ends in a slash
lists a folder.  Another platform only needs another adapter.
"""

import urllib.parse

import msgspec
import urllib3
from bronzepaddle import documents, ids, store_versions

from bronzepaddle_store import eras, http_calls, store


class ListedObject(msgspec.Struct, frozen=True):
    """An object in the listing of a folder."""

    version: int
    body: bytes


class HttpStore:
    """Implements ``store.Store`` with the protocol of this module.

    ``timeout_s`` is the timeout of a call.
    """

    def __init__(
        self, url: str, timeout_s: float, budget: http_calls.CallBudget
    ) -> None:
        self.url = url.rstrip("/")
        self.calls = http_calls.HttpCalls(timeout_s, budget)
        # This platform's store has no eras.
        self.eras = eras.EraTracker()

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the latest version of an object; see ``store.Store``."""
        response = await self.calls.call("GET", self._object_url(name))
        return _to_stored_object(response)

    async def put(
        self, name: str, body: bytes, replaces: store_versions.StoreVersion
    ) -> store_versions.StoreVersion:
        """Write an object and return its version; see ``store.Store``."""
        if len(body) > store.MAX_OBJECT_BYTES:
            raise store.StoreUnavailableError(
                f"{name}: a body of {len(body)} bytes is too large"
            )
        match replaces:
            case store.ANY_VERSION:
                headers = {"If-Match": "*"}
            case store_versions.NO_VERSION:
                headers = {"If-None-Match": "*"}
            case _:
                headers = {"If-Match": f'"{replaces.revision}"'}
        response = await self.calls.call(
            "PUT", self._object_url(name), body=body, headers=headers
        )
        if response.status == 412:
            raise store.ConflictError(
                f"{name}: version {replaces.revision} is not the latest"
            )
        if response.status >= 500:
            # The platform may have failed after the write took effect.
            raise store.UnknownOutcomeError(f"{name}: HTTP {response.status}")
        if response.status not in (200, 201):
            raise store.StoreUnavailableError(
                f"{name}: HTTP {response.status}"
            )
        return _parse_version(response)

    async def list(self, folder: str) -> dict[str, store.StoredObject]:
        """Return all objects of a folder; see ``store.Store``."""
        response = await self.calls.call("GET", self._object_url(folder + "/"))
        if response.status != 200:
            raise store.StoreUnavailableError(
                f"{folder}: HTTP {response.status}"
            )
        try:
            listing = documents.decode(response.data, dict[str, ListedObject])
        except msgspec.DecodeError as error:
            raise store.StoreUnavailableError(f"{folder}: {error}") from error
        return {
            name.removeprefix(folder + "/"): store.StoredObject(
                store_versions.of_first_era(ids.ObjectVersion(listed.version)),
                listed.body,
            )
            for name, listed in listing.items()
        }

    async def watch(
        self,
        name: str,
        newer_than: store_versions.StoreVersion,
        timeout_s: float,
    ) -> store.StoredObject | None:
        """Wait for a newer version of an object; see ``store.Store``."""
        query = urllib.parse.urlencode(
            {"newer-than": newer_than.revision, "timeout-s": timeout_s}
        )
        response = await self.calls.call(
            "GET",
            f"{self._object_url(name)}?{query}",
            wait_s=timeout_s,
        )
        return None if response.status == 304 else _to_stored_object(response)

    def close(self) -> None:
        """Close the connections."""
        self.calls.close()

    def _object_url(self, name: str) -> str:
        return f"{self.url}/objects/{urllib.parse.quote(name)}"


def _to_stored_object(
    response: urllib3.BaseHTTPResponse,
) -> store.StoredObject | None:
    """Return the object in a response; None if it doesn't exist.

    Raises ``StoreUnavailableError`` for any other status.
    """
    if response.status == 404:
        return None
    if response.status != 200:
        raise store.StoreUnavailableError(f"HTTP {response.status}")
    return store.StoredObject(_parse_version(response), response.data)


def _parse_version(
    response: urllib3.BaseHTTPResponse,
) -> store_versions.StoreVersion:
    """Return the version in a response; raises ``StoreUnavailableError``."""
    tag = response.headers.get("ETag", "").strip('"')
    if not tag.isdecimal():
        raise store.StoreUnavailableError(f"no version in ETag {tag!r}")
    return store_versions.of_first_era(ids.ObjectVersion(int(tag)))
