"""The ``bronzepaddled`` program, which runs on the VM of a backend server.

The settings file decides which kind of process is run: a ``sidecar.Sidecar``
or a ``node.Node``.
"""

import asyncio
import collections.abc
import dataclasses
import os
import pathlib
import signal
import sys
import typing

import click
import eliot
import returns.result
from bronzepaddle import log_writer, options, sidecar_options

from bronzepaddle_node import early_reload

BAD_SETTINGS_STATUS: typing.Final = 2
"""Exit status if the settings are invalid."""

LOG_CLOSE_TIMEOUT_S: typing.Final = 0.3
"""Timeout of writing the last log lines.

The program that reads them may have stopped reading.
"""


@dataclasses.dataclass(frozen=True)
class _SettingsFile:
    """The settings file, and what the command line replaces of it.

    ``content`` is that of the file before the settings were read from it.
    """

    path: pathlib.Path
    content: bytes
    overrides: options.Overrides


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings of this process, an INI file.",
)
@click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="SECTION.KEY=VALUE",
    callback=lambda _context, _parameter, texts: _overrides(texts),
    help="A setting that replaces that of the file, unless VALUE is empty.",
)
@click.pass_obj
def main(
    early: early_reload.EarlyReload,
    config: pathlib.Path,
    overrides: options.Overrides,
) -> None:
    """Run one process of the system until SIGTERM or SIGINT."""
    if sidecar_options.is_sidecar_file(config):
        _run_sidecar(config, overrides, early)
    else:
        _run_node(config, overrides)


def _overrides(
    texts: collections.abc.Iterable[str],
) -> tuple[options.Override, ...]:
    """Parse the settings of the command line."""
    try:
        return tuple(options.parse_override(text) for text in texts)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


def _run_node(config: pathlib.Path, overrides: options.Overrides) -> None:
    """Run a process whose lease other members extend by acknowledgements."""
    match options.load(config, overrides):
        case returns.result.Success(settings):
            asyncio.run(_serve_node(settings))
            _exit_now()
        case returns.result.Failure(errors):
            for error in errors:
                click.echo(str(error), err=True)
            sys.exit(BAD_SETTINGS_STATUS)


def _exit_now() -> typing.NoReturn:
    """Exit without waiting for threads.

    Requests that still run on them have had their time to finish.
    """
    sys.stdout.flush()
    os._exit(0)


def _run_sidecar(
    config: pathlib.Path,
    overrides: options.Overrides,
    early: early_reload.EarlyReload,
) -> None:
    """Run a process whose leases depend on reads of the store."""
    content = config.read_bytes()
    match sidecar_options.load(config, overrides):
        case returns.result.Success(settings):
            log = log_writer.Writer(
                log_writer.to_descriptor(sys.stdout.fileno()), settings.log
            )
            eliot.add_destinations(log.enqueue)
            file = _SettingsFile(config, content, overrides)
            asyncio.run(_serve_sidecar(file, settings, log, early))
            log.close(LOG_CLOSE_TIMEOUT_S)
            _exit_now()
        case returns.result.Failure(errors):
            for error in errors:
                click.echo(str(error), err=True)
            sys.exit(BAD_SETTINGS_STATUS)


async def _serve_sidecar(
    file: _SettingsFile,
    settings: sidecar_options.SidecarOptions,
    log: log_writer.Writer,
    early: early_reload.EarlyReload,
) -> None:
    """Serve until SIGTERM or SIGINT, then stop; reload on SIGHUP."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # Imported here, because each composition root needs libraries that the
    # other doesn't; this saves the memory of those that are not used.
    from bronzepaddle_node import reloading, sidecar

    process = sidecar.Sidecar(settings, log)
    reloader = reloading.Reloader(
        file.path, process.reconfigure, file.content, file.overrides
    )
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    if early.requested:
        reloader.request_reload()
    await process.start()
    process.background_tasks.start(reloader.run(), "settings")
    await stop_requested.wait()
    await process.stop()


async def _serve_node(settings: options.Options) -> None:
    """Serve until SIGTERM or SIGINT, then leave the cell and stop."""
    _open_log(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    from bronzepaddle_node import node

    process = node.Node(settings)
    await process.start()
    click.echo(process.ready_line())
    await stop_requested.wait()
    await process.stop()


def _open_log(settings: options.Options) -> None:
    """Direct the log to the configured file, by default standard output."""
    if settings.log_file is None:
        eliot.to_file(sys.stdout)
        return
    eliot.to_file(settings.log_file.open("ab", buffering=0))
