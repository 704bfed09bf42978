"""Reads the settings again when they change, told by a signal or not.

Settings that can't be read leave those in force as they were; each error is
logged with its place.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import typing

import returns.result
from bronzepaddle import logs, sidecar_options

LOOK_EVERY_S: typing.Final = 1.0

Apply: typing.TypeAlias = collections.abc.Callable[
    [sidecar_options.SidecarOptions], None
]


class Reloader:
    """Watches one settings file."""

    def __init__(self, path: pathlib.Path, apply: Apply) -> None:
        self.path = path
        self.apply = apply
        self.told = asyncio.Event()
        self.text = b""
        self.text = self._read()

    def tell(self) -> None:
        """Read again at once, as a signal asks."""
        self.told.set()

    async def run(self) -> None:
        """Look for a change for ever."""
        while True:
            with contextlib.suppress(TimeoutError):
                # Settings may change without a signal, so look then too.
                async with asyncio.timeout(LOOK_EVERY_S):
                    await self.told.wait()
            self.told.clear()
            self.look()

    def look(self) -> None:
        """Apply the settings if their text has changed."""
        text = self._read()
        if text == self.text:
            return
        self.text = text
        match sidecar_options.load(self.path):
            case returns.result.Success(settings):
                self.apply(settings)
                logs.process("reloaded", str(self.path))
            case returns.result.Failure(errors):
                for error in errors:
                    logs.bad_document(str(self.path), str(error))

    def _read(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError as error:
            # Being replaced right now; the next look finds the new one.
            logs.bad_document(str(self.path), str(error))
            return self.text
