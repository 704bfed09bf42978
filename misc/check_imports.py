"""Checks that each package imports only downward, and modules, not names.

``node`` may import every peer's package, these only the core; prints each
import that goes elsewhere and exits 1 if there is one.
"""

import ast
import collections.abc
import pathlib
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
CORE: typing.Final = "bronzepaddle"
PEERS: typing.Final = frozenset(
    f"bronzepaddle_{name}" for name in ("callers", "backend", "store", "peers")
)
ADAPTER: typing.Final = "bronzepaddle_platform"

MAY_IMPORT: typing.Final = {
    CORE: frozenset[str](),
    **dict.fromkeys(PEERS, frozenset({CORE})),
    "bronzepaddle_operators": frozenset({CORE, "bronzepaddle_store"}),
    ADAPTER: PEERS - {"bronzepaddle_peers"} | {CORE},
    "bronzepaddle_node": PEERS | {CORE, ADAPTER},
    "bronzepaddle_standins": PEERS | {CORE, "bronzepaddle_node"},
}


def main() -> int:
    """Check every package and return the exit status."""
    wrong = [
        line
        for package, allowed in MAY_IMPORT.items()
        for line in _wrong_in(package, allowed)
    ]
    print("\n".join(wrong) or "imports go downward")
    return 1 if wrong else 0


def _wrong_in(
    package: str, allowed: frozenset[str]
) -> collections.abc.Iterator[str]:
    files = sorted(ROOT.glob(f"*/**/src/{package}/**/*.py"))
    if not files:
        yield f"{package}: has no files"
    for path in files:
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for name, imported, line in _imports(tree):
            top = name.partition(".")[0]
            place = f"{path.relative_to(ROOT)}:{line}"
            ours = top in MAY_IMPORT
            if ours and top != package and top not in allowed:
                yield f"{place}: {package} may not import {top}"
            if imported and not _is_module(name, imported):
                yield f"{place}: {imported} is a name, not a module"


def _imports(
    tree: ast.Module,
) -> collections.abc.Iterator[tuple[str, str, int]]:
    """Yield the module, the name imported from it and the line."""
    for node in ast.walk(tree):
        match node:
            case ast.Import(names):
                for alias in names:
                    yield alias.name, "", node.lineno
            case ast.ImportFrom(module, names):
                for alias in names:
                    yield module or "", alias.name, node.lineno


def _is_module(package: str, name: str) -> bool:
    return any(ROOT.glob(f"*/**/src/{package}/{name}.py"))


if __name__ == "__main__":
    sys.exit(main())
