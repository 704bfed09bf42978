"""The operators' commands against real processes."""

import pathlib

import click.testing
from bronzepaddle_operators import cli

from integration import processes

ROOT = pathlib.Path(__file__).parent.parent.parent


def _run(*words: str) -> str:
    result = click.testing.CliRunner().invoke(cli.main, words)
    assert result.exit_code == 0, result.output
    return result.output


def test_status_explain_and_drain(fleet: processes.Fleet) -> None:
    vms = fleet.three()
    at = vms[0].control.removeprefix("http://")
    shown = _run("status", "--process", at)
    assert all(vm.name in shown for vm in vms)
    key = fleet.owned_by(vms[0])
    said = _run("explain", "key", "lots", key, "--process", at)
    assert f"owner {vms[0].name}" in said
    _run("drain", "--process", at)
    fleet.until(
        "another owns the key",
        lambda: fleet.owner(vms[1], key) != vms[0].name,
    )
    _run("undrain", "--process", at)
    fleet.until_settled()


def test_unreachable_process_is_a_clear_error() -> None:
    result = click.testing.CliRunner().invoke(
        cli.main, ["status", "--process", "127.0.0.1:1"]
    )
    assert result.exit_code == 1
    assert "127.0.0.1:1" in result.output


def test_bundle_check_shows_every_error(tmp_path: pathlib.Path) -> None:
    good = ROOT / "examples" / "gulf-prairie" / "bundle.ini"
    assert "version 1" in _run("bundle", "check", str(good))
    bad = tmp_path / "bad.ini"
    text = good.read_text().replace("rank = 0", "rank = x")
    bad.write_text(text.replace("version = 1", "version = y"))
    result = click.testing.CliRunner().invoke(
        cli.main, ["bundle", "check", str(bad)]
    )
    assert result.exit_code == 1
    assert result.output.count("not-a-number") == 2
