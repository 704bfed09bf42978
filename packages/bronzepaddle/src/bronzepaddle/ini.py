"""Reads values of INI files and gathers what is wrong with them.

``options`` reads a process's settings by it, ``bundle_ini`` a bundle; each
says in ``wrong`` what an error looks like.
"""

import configparser
import re
import typing

_WHOLE: typing.Final = re.compile(r"[0-9]{1,20}")


class Reader:
    """Typed values of one file, every error noted and none raised."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self.parser = parser

    def wrong(self, code: str, section: str, key: str, detail: str) -> None:
        """Note an error and go on."""
        raise NotImplementedError

    def text(self, section: str, key: str, default: str | None = None) -> str:
        """Read a value; one without a default must be there."""
        value = self.parser.get(section, key, fallback="").strip()
        if not value and default is None:
            self.wrong("missing", section, key, "must be given")
        return value or default or ""

    def words(self, section: str, key: str) -> list[str]:
        """Read a list of words, parted by blanks or commas."""
        return self.text(section, key, "").replace(",", " ").split()

    def number(
        self,
        section: str,
        key: str,
        default: float | None,
        least: float,
        most: float,
    ) -> float:
        """Read a number within its bounds, both included."""
        value = self._given(section, key, default)
        if not value:
            return least if default is None else default
        try:
            found = float(value)
        except ValueError:
            self.wrong("not-a-number", section, key, f"not a number: {value}")
            return least
        if not least <= found <= most:
            said = f"from {least} to {most}, not {value}"
            self.wrong("out-of-range", section, key, said)
            return least
        return found

    def whole(
        self,
        section: str,
        key: str,
        default: int | None,
        least: int,
        most: int,
    ) -> int:
        """Read a whole number within its bounds, both included."""
        value = self._given(section, key, default)
        if not value:
            return least if default is None else default
        if not _WHOLE.fullmatch(value):
            said = f"not a whole number: {value}"
            self.wrong("not-a-number", section, key, said)
            return least
        found = int(value)
        if not least <= found <= most:
            said = f"from {least} to {most}, not {value}"
            self.wrong("out-of-range", section, key, said)
            return least
        return found

    def _given(self, section: str, key: str, default: object) -> str:
        return self.text(section, key, None if default is None else "")
