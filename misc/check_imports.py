"""Checks the imports of the packages of this repository.

Of the packages of this repository, a package may import only those that
``MAY_IMPORT`` lists for it.  ``from`` may only import modules of this
repository, not names of a module.  Prints each import that breaks a rule and
exits with 1 if there is one.
"""

import ast
import collections.abc
import pathlib
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
CORE: typing.Final = "bronzepaddle"
INTERFACES: typing.Final = frozenset(
    f"bronzepaddle_{name}" for name in ("callers", "backend", "store", "peers")
)
"""Packages that each communicate with one kind of counterpart."""

PLATFORM: typing.Final = "bronzepaddle_platform"

MAY_IMPORT: typing.Final = {
    CORE: frozenset[str](),
    **dict.fromkeys(INTERFACES, frozenset({CORE})),
    "bronzepaddle_operators": frozenset({CORE, "bronzepaddle_store"}),
    PLATFORM: INTERFACES - {"bronzepaddle_peers"} | {CORE},
    "bronzepaddle_node": INTERFACES | {CORE, PLATFORM},
    "bronzepaddle_standins": INTERFACES | {CORE, "bronzepaddle_node"},
}


def main() -> int:
    """Check every package and return the exit status."""
    violations = [
        violation
        for package, allowed in MAY_IMPORT.items()
        for violation in _find_violations(package, allowed)
    ]
    print("\n".join(violations) or "all imports are allowed")
    return 1 if violations else 0


def _find_violations(
    package: str, allowed: frozenset[str]
) -> collections.abc.Iterator[str]:
    """Yield a message for each import of a package that breaks a rule."""
    files = sorted(ROOT.glob(f"*/**/src/{package}/**/*.py"))
    if not files:
        yield f"{package}: no source files found"
    for path in files:
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for module, name, line in _imports(tree):
            target = module.partition(".")[0]
            location = f"{path.relative_to(ROOT)}:{line}"
            in_repository = target in MAY_IMPORT
            if in_repository and target != package and target not in allowed:
                yield f"{location}: {package} may not import {target}"
            if name and not _is_module(module, name):
                yield f"{location}: {name} is not a module of this repository"


def _imports(
    tree: ast.Module,
) -> collections.abc.Iterator[tuple[str, str, int]]:
    """Yield module, name and line of each import; the name may be empty."""
    for node in ast.walk(tree):
        match node:
            case ast.Import(names):
                for alias in names:
                    yield alias.name, "", node.lineno
            case ast.ImportFrom(module, names):
                for alias in names:
                    yield module or "", alias.name, node.lineno


def _is_module(package: str, name: str) -> bool:
    folder = package.replace(".", "/")
    return any(ROOT.glob(f"*/**/src/{folder}/{name}.py"))


if __name__ == "__main__":
    sys.exit(main())
