"""Tests of the operators' commands against running processes."""

import pathlib

import click.testing
from bronzepaddle_operators import cli

from integration import processes

ROOT = pathlib.Path(__file__).parent.parent.parent


def _run(*arguments: str) -> str:
    """Return the output of a command that must succeed."""
    result = click.testing.CliRunner().invoke(cli.main, arguments)
    assert result.exit_code == 0, result.output
    return result.output


def test_status_explain_and_drain(fleet: processes.Fleet) -> None:
    """The commands show and change what a process really does.

    Guards against a status without all members, an explained owner other than
    the real one, and a drained process that keeps its keys.
    """
    vms = fleet.start_three_vms()
    address = vms[0].control_url.removeprefix("http://")
    status = _run("status", "--process", address)
    assert all(vm.name in status for vm in vms)
    key = fleet.key_owned_by(vms[0])
    explanation = _run("explain", "key", "lots", key, "--process", address)
    assert f"owner {vms[0].name}" in explanation
    _run("drain", "--process", address)
    fleet.wait_until(
        "another member owns the key",
        lambda: fleet.owner(vms[1], key) != vms[0].name,
    )
    _run("undrain", "--process", address)
    fleet.wait_until_balanced()


def test_unreachable_process_is_a_clear_error() -> None:
    """A refused connection is reported with its address, not a traceback."""
    result = click.testing.CliRunner().invoke(
        cli.main, ["status", "--process", "127.0.0.1:1"]
    )
    assert result.exit_code == 1
    assert "127.0.0.1:1" in result.output


def test_bundle_check_shows_every_error(tmp_path: pathlib.Path) -> None:
    """The check of a bundle does not stop at the first of two errors."""
    valid_path = ROOT / "examples" / "gulf-prairie" / "bundle.ini"
    assert "version 1" in _run("bundle", "check", str(valid_path))
    invalid_path = tmp_path / "bad.ini"
    text = valid_path.read_text().replace("rank = 0", "rank = x")
    invalid_path.write_text(text.replace("version = 1", "version = y"))
    result = click.testing.CliRunner().invoke(
        cli.main, ["bundle", "check", str(invalid_path)]
    )
    assert result.exit_code == 1
    assert result.output.count("not-a-number") == 2
