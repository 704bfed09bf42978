"""Tests of valid and invalid settings, and of their documentation."""

import pathlib
import re

import pytest
import returns.result
from bronzepaddle import bundle_ini, options

ROOT = pathlib.Path(__file__).parent.parent
VALID = """
[process]
name = n1
zone = a
[callers]
listen = 127.0.0.1:8000
[control]
listen = 127.0.0.1:8001
[peers]
listen = 127.0.0.1:8002
[platform]
url = http://127.0.0.1:9000
"""

INVALID = {
    "missing": ("name = n1", "", "[process] name: must be given"),
    "unknown key": ("name = n1", "name = n1\nnmae = x", "[process] nmae"),
    "unknown section": ("[process]", "[x]\n[process]", "[x] : unknown"),
    "port": (":8000", ":80000", "[callers] listen: HOST:PORT"),
    "number": (
        "[platform]",
        "[platform]\ntimeout-s = soon",
        "[platform] timeout-s: not a number",
    ),
    "range": (
        "[platform]",
        "[platform]\ntimeout-s = 900",
        "[platform] timeout-s: from 0.05 to 60.0",
    ),
    "heartbeat": (
        "[platform]",
        "[lease]\nheartbeat-s = 2\n[platform]",
        "[lease] heartbeat-s: at most a third",
    ),
}


def _load(path: pathlib.Path, text: str) -> options.OptionsResult:
    path.write_text(text, encoding="utf-8")
    return options.load(path)


def test_valid_settings_are_read(tmp_path: pathlib.Path) -> None:
    match _load(tmp_path / "node.ini", VALID):
        case returns.result.Success(settings):
            assert settings.name == "n1"
            assert settings.callers.port == 8000
        case failure:
            raise AssertionError(str(failure))


@pytest.mark.parametrize(
    ("old", "new", "message"), INVALID.values(), ids=INVALID.keys()
)
def test_errors_name_the_section_and_the_key(
    tmp_path: pathlib.Path, old: str, new: str, message: str
) -> None:
    path = tmp_path / "node.ini"
    match _load(path, VALID.replace(old, new, 1)):
        case returns.result.Failure(errors):
            lines = [str(error) for error in errors]
            assert any(message in line for line in lines), lines
            assert all(line.startswith(str(path)) for line in lines)
        case _:
            raise AssertionError("accepted")


def test_every_setting_is_documented_for_operators() -> None:
    page = (ROOT / "docs" / "operators" / "README.md").read_text()
    rows = set(re.findall(r"^\| (\w+) \| ([\w-]+) \|", page, re.MULTILINE))
    defined = {
        (section, key)
        for section, keys in options.SECTIONS.items()
        for key in keys
    }
    assert defined == rows - {("section", "key")}


@pytest.mark.parametrize("name", ["granite-commons", "gulf-prairie"])
def test_examples_are_valid(name: str) -> None:
    folder = ROOT / "examples" / name
    match bundle_ini.parse((folder / "bundle.ini").read_text()):
        case returns.result.Success(_):
            pass
        case failure:
            raise AssertionError(str(failure))
    settings = list(folder.glob("node*.ini"))
    assert settings
    for path in settings:
        assert isinstance(options.load(path), returns.result.Success)
