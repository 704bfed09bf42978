"""Tests of SIGHUP while a process is starting."""

import os
import pathlib
import signal
import subprocess
import sys
import typing

from bronzepaddle_node import early_reload
from support import local_addresses

from integration import platform_standins, test_explaining

END_TIMEOUT_S: typing.Final = 60.0
"""Timeout of a killed process's end."""


def test_hangup_at_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """SIGHUP arrives while the process reads its settings.

    The settings file is a named pipe at first.  Opening it for writing waits
    until the process has opened it for reading, so the process is known to be
    at this step when it gets the signal.

    Guards against the end of a process that has just been started.
    """
    store = platform_standins.ObjectStore()
    addresses = {
        purpose: local_addresses.unused_address()
        for purpose in ("callers", "ready", "control", "peers")
    }
    settings = test_explaining.settings("one", store.address, addresses)
    path, regular_file = tmp_path / "node.ini", tmp_path / "regular.ini"
    os.mkfifo(path)
    regular_file.write_text(settings, encoding="utf-8")
    command = [sys.executable, "-m", "bronzepaddle_node.main", "--config"]
    process = subprocess.Popen([*command, str(path)], stdout=subprocess.PIPE)
    try:
        with path.open("w", encoding="utf-8") as pipe:
            # The process opens the file more than once.
            os.replace(regular_file, path)
            process.send_signal(signal.SIGHUP)
            pipe.write(settings)
        assert process.stdout is not None
        assert any(b'"started"' in line for line in process.stdout)
    finally:
        process.kill()
        process.wait(END_TIMEOUT_S)
        store.stop()


def test_hangup_at_the_start_is_remembered() -> None:
    """Guards against a change of the settings that is never applied.

    The process may have read them before they changed, and got the signal
    before its event loop handled signals.
    """
    previous = signal.getsignal(signal.SIGHUP)
    try:
        early = early_reload.EarlyReload()
        assert not early.requested
        os.kill(os.getpid(), signal.SIGHUP)
        assert early.requested
    finally:
        signal.signal(signal.SIGHUP, previous)
