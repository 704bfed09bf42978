"""The ``bronzepaddle`` command.

Other packages add their own commands through the entry point group
``bronzepaddle.commands``.
"""

import importlib.metadata
import pathlib
import sys
import typing

import click
import msgspec
import returns.result
import urllib3
from bronzepaddle import bundle_ini
from bronzepaddle import status as status_messages

from bronzepaddle_operators import log_history, route_command

COMMANDS_GROUP: typing.Final = "bronzepaddle.commands"
TIMEOUT_S: typing.Final = 3.0
"""Timeout of a call to a control port."""


@click.group()
def main() -> None:
    """Operate a fleet of bronzepaddle processes."""


def _add_commands() -> None:
    """Add the commands of other packages."""
    for entry_point in importlib.metadata.entry_points(group=COMMANDS_GROUP):
        main.add_command(entry_point.load(), entry_point.name)


@main.group()
def bundle() -> None:
    """Work with configuration bundles."""


@bundle.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path) -> None:
    """Check a bundle and print all errors in it."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{file}: {error}") from error
    match bundle_ini.parse(text):
        case returns.result.Success(parsed):
            click.echo(
                f"{file}: version {parsed.version}, "
                f"{len(parsed.services)} services, "
                f"{len(parsed.priorities)} priorities"
            )
        case returns.result.Failure(errors):
            for problem in errors:
                click.echo(f"{file}: {problem}", err=True)
            sys.exit(1)


_process_option = click.option(
    "--process",
    required=True,
    help="Control address of any process, HOST:PORT.",
)


@main.command()
@_process_option
def status(process: str) -> None:
    """Show the state of a cell as known to one process."""
    reply = _fetch_status(process)
    click.echo(
        f"{reply.name} in {reply.cell} at version {reply.cell_version}, "
        f"bundle {reply.bundle_version}, lease {reply.lease_left_s:.1f} s, "
        f"coordinator {reply.coordinator} (term {reply.term}), "
        f"{reply.store_calls_last_minute} store calls last minute"
    )
    for name, member in sorted(reply.members.items()):
        click.echo(
            f"  {name:16} {member.zone:10} {member.state:10} "
            f"{member.service or '-':14} {member.slots:5} slots  "
            f"heard {member.heard_ago_s:.1f} s ago"
        )


def _fetch_status(process: str) -> status_messages.Status:
    body = _call_control_port("GET", process, "status")
    return msgspec.json.decode(body, type=status_messages.Status)


@main.command()
@click.argument("address")
def readiness(address: str) -> None:
    """Show whether a process accepts requests, and its configuration.

    ADDRESS is HOST:PORT of the readiness checks.
    """
    url = f"http://{address}/bronzepaddle/readiness"
    reply = msgspec.json.decode(
        _call("GET", address, url).data, type=status_messages.Readiness
    )
    click.echo(
        f"{'ready' if reply.ready else 'not ready'}, "
        f"configuration {reply.config_version:08x}"
    )
    if reply.refused is not None:
        version = reply.refused.version
        name = "of unknown version" if version is None else f"{version:08x}"
        click.echo(
            f"configuration {name} was refused: "
            f"{reply.refused.place}: {reply.refused.reason}"
        )


@main.command()
@_process_option
def drain(process: str) -> None:
    """Make a process hand over its keys and accept no others."""
    click.echo(_call_control_port("POST", process, "drain"), nl=False)


@main.command()
@_process_option
def undrain(process: str) -> None:
    """Allow a process to accept keys again."""
    click.echo(_call_control_port("POST", process, "undrain"), nl=False)


@main.group()
def explain() -> None:
    """Explain routing decisions."""


@explain.command()
@click.argument("service")
@click.argument("key")
@_process_option
def key(service: str, key: str, process: str) -> None:
    """Show where a request for a key would be sent now, and why."""
    fields = {"service": service, "key": key}
    explanation = msgspec.json.decode(
        _call_control_port("GET", process, "explain", fields),
        type=status_messages.KeyExplanation,
    )
    click.echo(
        f"{explanation.service} {explanation.key}: owner {explanation.owner}, "
        f"token {explanation.token}, cell version {explanation.cell_version}; "
        f"{explanation.detail}"
    )


@explain.command("route")
@click.argument("method")
@click.argument("host")
@click.argument("target", metavar="PATH")
@click.option(
    "--process",
    required=True,
    help="Address of the readiness checks of the process, HOST:PORT.",
)
@click.option("--key", type=int, default=-1, help="Key of the request.")
@click.option(
    "--body-bytes", type=int, default=0, help="Length of its body, bytes."
)
def explain_route(
    method: str,
    host: str,
    target: str,
    process: str,
    key: int,
    body_bytes: int,
) -> None:
    """Show where a request would be sent now, and why, without sending it.

    PATH may have a query.  The process answers as if the request had come to
    it now.
    """
    fields = {
        "method": method,
        "host": host,
        "target": target,
        "key": str(key),
        "body_bytes": str(body_bytes),
    }
    explanation = msgspec.json.decode(
        _call_control_port("GET", process, "route", fields),
        type=status_messages.RouteExplanation,
    )
    click.echo("\n".join(route_command.lines(explanation)))


_logs_argument = click.argument(
    "logs", nargs=-1, type=click.Path(path_type=pathlib.Path)
)


@explain.command("request")
@click.argument("request_id")
@_logs_argument
def explain_request(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show what happened to a request, from log files or standard input."""
    history = list(
        log_history.request_history(_read_entries(logs), request_id)
    )
    if not history:
        raise click.ClickException(
            f"no log line mentions request {request_id}"
        )
    click.echo("\n".join(history))


@explain.command("holders")
@click.argument("key", type=int)
@_logs_argument
def explain_holders(key: int, logs: tuple[pathlib.Path, ...]) -> None:
    """Show who has held a numeric key, from log files or standard input."""
    history = list(log_history.key_history(_read_entries(logs), key))
    if not history:
        raise click.ClickException(f"no log line mentions key {key}")
    click.echo("\n".join(history))


def _read_entries(logs: tuple[pathlib.Path, ...]) -> list[log_history.Entry]:
    """Return the log lines in files, or in standard input if none is given.

    Raises ``click.ClickException`` if a file can't be read.
    """
    if not logs:
        return list(log_history.read_entries("input", sys.stdin.read()))
    entries: list[log_history.Entry] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise click.ClickException(f"{path}: {error}") from error
        entries.extend(log_history.read_entries(path.stem, text))
    return entries


def _call_control_port(
    method: str,
    process: str,
    command: str,
    fields: dict[str, str] | None = None,
) -> str:
    """Call the control port of a process and return the response body.

    ``fields`` are sent as query parameters.  Raises ``click.ClickException``
    if the call fails.
    """
    url = f"http://{process}/bronzepaddle/{command}"
    response = _call(method, process, url, fields)
    if response.status >= 400:
        raise click.ClickException(f"{process}: HTTP {response.status}")
    return response.data.decode()


def _call(
    method: str, process: str, url: str, fields: dict[str, str] | None = None
) -> urllib3.BaseHTTPResponse:
    """Make a call; raises ``click.ClickException`` without a response."""
    try:
        return urllib3.request(
            method, url, fields=fields, timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise click.ClickException(f"{process}: {error}") from error


_add_commands()
