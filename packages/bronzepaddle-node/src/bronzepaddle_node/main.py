"""The ``bronzepaddled`` binary: one process beside one backend server."""

import asyncio
import os
import pathlib
import signal
import sys
import typing

import click
import eliot
import returns.result
from bronzepaddle import log_writer, options, sidecar_options

BAD_SETTINGS_STATUS: typing.Final = 2

LOG_END_S: typing.Final = 0.3
"""Time in which the last lines are written; their reader may have stopped."""


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings of this process, an INI file.",
)
def main(config: pathlib.Path) -> None:
    """Run one process of the system until SIGTERM or SIGINT."""
    if sidecar_options.is_sidecar_file(config):
        _run_sidecar(config)
    else:
        _run_node(config)


def _run_node(config: pathlib.Path) -> None:
    """Run a process that the others of its cell vouch for."""
    match options.load(config):
        case returns.result.Success(settings):
            asyncio.run(_run(settings))
            _end()
        case returns.result.Failure(errors):
            for error in errors:
                click.echo(str(error), err=True)
            sys.exit(BAD_SETTINGS_STATUS)


def _end() -> typing.NoReturn:
    """End now: what threads still wait for has had its time."""
    sys.stdout.flush()
    os._exit(0)


def _run_sidecar(config: pathlib.Path) -> None:
    """Run a process whose leases rest on the platform's store."""
    match sidecar_options.load(config):
        case returns.result.Success(settings):
            log = log_writer.Writer(
                log_writer.to_descriptor(sys.stdout.fileno()), settings.log
            )
            eliot.add_destinations(log.enqueue)
            asyncio.run(_serve_until_told(config, settings, log))
            log.close(LOG_END_S)
            _end()
        case returns.result.Failure(errors):
            for error in errors:
                click.echo(str(error), err=True)
            sys.exit(BAD_SETTINGS_STATUS)


async def _serve_until_told(
    config: pathlib.Path,
    settings: sidecar_options.SidecarOptions,
    log: log_writer.Writer,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Each root brings libraries that the other does without; a process
    # pays memory only for its own.
    from bronzepaddle_node import reloading, sidecar

    process = sidecar.Sidecar(settings, log)
    reloader = reloading.Reloader(config, process.reconfigure)
    loop.add_signal_handler(signal.SIGHUP, reloader.tell)
    await process.start()
    process.background_tasks.start(reloader.run(), "settings")
    await stopping.wait()
    await process.stop()


async def _run(settings: options.Options) -> None:
    """Run until a signal asks for the end, then leave in good order."""
    _open_log(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    from bronzepaddle_node import node

    process = node.Node(settings)
    await process.start()
    click.echo(process.ready_line())
    await stopping.wait()
    await process.stop()


def _open_log(settings: options.Options) -> None:
    """Write the log to the file of the settings, or to standard output."""
    if settings.log_file is None:
        eliot.to_file(sys.stdout)
        return
    eliot.to_file(settings.log_file.open("ab", buffering=0))


if __name__ == "__main__":
    main()
