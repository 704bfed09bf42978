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
from bronzepaddle import status as status_of

from bronzepaddle_operators import log_history

COMMANDS_GROUP: typing.Final = "bronzepaddle.commands"
TIMEOUT_S: typing.Final = 3.0


@click.group()
def main() -> None:
    """Operate a fleet of bronzepaddle processes."""


def _add_commands() -> None:
    for entry in importlib.metadata.entry_points(group=COMMANDS_GROUP):
        main.add_command(entry.load(), entry.name)


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
        case returns.result.Success(found):
            click.echo(
                f"{file}: version {found.version}, "
                f"{len(found.services)} services, "
                f"{len(found.priorities)} priorities"
            )
        case returns.result.Failure(errors):
            for wrong in errors:
                click.echo(f"{file}: {wrong}", err=True)
            sys.exit(1)


_process = click.option(
    "--process",
    required=True,
    help="Control address of any process, HOST:PORT.",
)


@main.command()
@_process
def status(process: str) -> None:
    """Show the state of a cell as known to one process."""
    known = _fetch_status(process)
    click.echo(
        f"{known.name} in {known.cell} at version {known.cell_version}, "
        f"bundle {known.bundle_version}, lease {known.lease_left_s:.1f} s, "
        f"coordinator {known.coordinator} (term {known.term}), "
        f"{known.store_calls_last_minute} store calls last minute"
    )
    for name, member in sorted(known.members.items()):
        click.echo(
            f"  {name:16} {member.zone:10} {member.state:10} "
            f"{member.service or '-':14} {member.slots:5} slots  "
            f"heard {member.heard_ago_s:.1f} s ago"
        )


def _fetch_status(process: str) -> status_of.Status:
    answer = _call("GET", process, "status")
    return msgspec.json.decode(answer, type=status_of.Status)


@main.command()
@_process
def drain(process: str) -> None:
    """Make a process hand over its keys and accept no others."""
    click.echo(_call("POST", process, "drain"), nl=False)


@main.command()
@_process
def undrain(process: str) -> None:
    """Allow a process to accept keys again."""
    click.echo(_call("POST", process, "undrain"), nl=False)


@main.group()
def explain() -> None:
    """Explain routing decisions."""


@explain.command()
@click.argument("service")
@click.argument("key")
@_process
def key(service: str, key: str, process: str) -> None:
    """Show where a request for a key would be sent now, and why."""
    fields = {"service": service, "key": key}
    found = msgspec.json.decode(
        _call("GET", process, "explain", fields),
        type=status_of.KeyExplanation,
    )
    click.echo(
        f"{found.service} {found.key}: owner {found.owner}, "
        f"token {found.token}, cell version {found.cell_version}; "
        f"{found.detail}"
    )


_logs = click.argument(
    "logs", nargs=-1, type=click.Path(path_type=pathlib.Path)
)


@explain.command("request")
@click.argument("request_id")
@_logs
def explain_request(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show what happened to a request, from log files or standard input."""
    history = list(log_history.request_history(_entries(logs), request_id))
    if not history:
        raise click.ClickException(
            f"no log line mentions request {request_id}"
        )
    click.echo("\n".join(history))


@explain.command("holders")
@click.argument("key", type=int)
@_logs
def explain_holders(key: int, logs: tuple[pathlib.Path, ...]) -> None:
    """Show who has held a numeric key, from log files or standard input."""
    history = list(log_history.key_history(_entries(logs), key))
    if not history:
        raise click.ClickException(f"no log line mentions key {key}")
    click.echo("\n".join(history))


def _entries(logs: tuple[pathlib.Path, ...]) -> list[log_history.Entry]:
    """Return the log lines in files, or in standard input if none is given."""
    if not logs:
        return list(log_history.read_entries("input", sys.stdin.read()))
    found: list[log_history.Entry] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise click.ClickException(f"{path}: {error}") from error
        found.extend(log_history.read_entries(path.stem, text))
    return found


def _call(
    method: str,
    process: str,
    what: str,
    fields: dict[str, str] | None = None,
) -> str:
    url = f"http://{process}/bronzepaddle/{what}"
    try:
        answer = urllib3.request(
            method, url, fields=fields, timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise click.ClickException(f"{process}: {error}") from error
    if answer.status >= 400:
        raise click.ClickException(f"{process}: HTTP {answer.status}")
    return answer.data.decode()


_add_commands()
