"""Checks that every test that docs/operators/promises.md names exists.

A name is ``cases::NAME`` for a case in tests/cases, or ``FILE::TEST``.
"""

import pathlib
import re
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
PAGE: typing.Final = ROOT / "docs" / "operators" / "promises.md"
NAMED: typing.Final = re.compile(r"`([\w/.]+)::(\w+)`")


def main() -> int:
    """Check the page and return the exit status."""
    named = NAMED.findall(PAGE.read_text(encoding="utf-8"))
    missing = [
        f"{place}::{name}" for place, name in named if not _exists(place, name)
    ]
    if missing or not named:
        print("named but not there:", *missing, sep="\n  ", file=sys.stderr)
        return 1
    print(f"{len(named)} named tests exist")
    return 0


def _exists(place: str, name: str) -> bool:
    if place == "cases":
        files = (ROOT / "tests" / "cases").glob("*.test")
        return any(f"[case {name}]\n" in one.read_text() for one in files)
    path = ROOT / place
    return path.is_file() and f"def {name}(" in path.read_text()


if __name__ == "__main__":
    sys.exit(main())
