"""Reloads the settings when their file has changed.

The file is checked periodically, and at once after SIGHUP.  If the new
settings are invalid, the current ones stay in effect, and each error is
logged with its section and key.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import typing

import returns.result
from bronzepaddle import logs, options, sidecar_options

CHECK_INTERVAL_S: typing.Final = 1.0

Apply: typing.TypeAlias = collections.abc.Callable[
    [sidecar_options.SidecarOptions], None
]


class Reloader:
    """Watches a settings file and passes changed settings to ``apply``.

    ``content`` is that of the file whose settings are in effect.
    ``overrides`` replace settings of each content.
    """

    def __init__(
        self,
        path: pathlib.Path,
        apply: Apply,
        content: bytes,
        overrides: options.Overrides = (),
    ) -> None:
        self.path = path
        self.apply = apply
        self.reload_requested = asyncio.Event()
        self.content = content
        self.overrides = overrides

    def request_reload(self) -> None:
        """Check the file now instead of at the next interval."""
        self.reload_requested.set()

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                # The file may also change without a signal.
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.reload_requested.wait()
            self.reload_requested.clear()
            self.check()

    def check(self) -> None:
        """Apply the settings if the file has changed and is valid."""
        content = self._read()
        if content == self.content:
            return
        self.content = content
        match sidecar_options.load(self.path, self.overrides):
            case returns.result.Success(settings):
                self.apply(settings)
                logs.process("reloaded", str(self.path))
            case returns.result.Failure(errors):
                for error in errors:
                    logs.bad_document(str(self.path), str(error))

    def _read(self) -> bytes:
        """Return the content of the file, or the last one if unreadable."""
        try:
            return self.path.read_bytes()
        except OSError as error:
            # The file may be missing for a moment while it is replaced.
            logs.bad_document(str(self.path), str(error))
            return self.content
