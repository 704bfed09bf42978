"""Checks that the tests named in docs/operators/promises.md exist.

The page lists what the system promises to its operators and the tests that
check each promise.  It names a test function as ``FILE::TEST`` and a case, a
section ``[case NAME]`` of a file in ``tests/cases``, as ``cases::NAME``.
"""

import pathlib
import re
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
PAGE: typing.Final = ROOT / "docs" / "operators" / "promises.md"
TEST_NAME: typing.Final = re.compile(r"`([\w/.]+)::(\w+)`")


def main() -> int:
    """Check the page and return the exit status."""
    named = TEST_NAME.findall(PAGE.read_text(encoding="utf-8"))
    missing = [
        f"{file}::{name}" for file, name in named if not _exists(file, name)
    ]
    if missing or not named:
        print(
            "named in docs/operators/promises.md, but missing:",
            *missing,
            sep="\n  ",
            file=sys.stderr,
        )
        return 1
    print(f"{len(named)} named tests exist")
    return 0


def _exists(file: str, name: str) -> bool:
    if file == "cases":
        files = (ROOT / "tests" / "cases").glob("*.test")
        return any(f"[case {name}]\n" in path.read_text() for path in files)
    path = ROOT / file
    return path.is_file() and f"def {name}(" in path.read_text()


if __name__ == "__main__":
    sys.exit(main())
