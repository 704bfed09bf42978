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


def test_hangup_at_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """SIGHUP arrives while the process reads its settings.

    They are read from a pipe, so that the process is known to be at this
    step.  Guards against the end of a process that has just been started.
    """
    store = platform_standins.ObjectStore()
    addresses = {
        purpose: local_addresses.unused_address()
        for purpose in ("callers", "ready", "control", "peers")
    }
    text = test_explaining.settings("one", store.address, addresses)
    path, file = tmp_path / "node.ini", tmp_path / "file.ini"
    os.mkfifo(path)
    file.write_text(text, encoding="utf-8")
    run = [sys.executable, "-m", "bronzepaddle_node.main", "--config"]
    process = subprocess.Popen([*run, str(path)], stdout=subprocess.PIPE)
    try:
        with path.open("w", encoding="utf-8") as pipe:
            os.replace(file, path)
            process.send_signal(signal.SIGHUP)
            pipe.write(text)
        assert process.stdout is not None
        assert any(b'"started"' in line for line in process.stdout)
    finally:
        process.kill()
        process.wait(END_TIMEOUT_S)
        store.stop()


def test_hangup_at_the_start_is_remembered() -> None:
    """Guards against settings that changed just before the signal."""
    previous = signal.getsignal(signal.SIGHUP)
    try:
        early = early_reload.EarlyReload()
        assert not early.requested
        os.kill(os.getpid(), signal.SIGHUP)
        assert early.requested
    finally:
        signal.signal(signal.SIGHUP, previous)
