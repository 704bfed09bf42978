"""Reads typed values from INI files and collects all errors.

``options`` uses it for the settings of one process, ``bundle_ini`` for a
bundle, the configuration that all processes share; each defines its own error
type.
"""

import configparser
import re
import typing

_INTEGER: typing.Final = re.compile(r"[0-9]{1,20}")


class Reader:
    """Reads typed values of one file; errors are recorded, not raised.

    A value without a default (None) is required.  In place of an invalid
    value, one of the right type is returned, so that reading can go on.
    """

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self.parser = parser

    def add_error(
        self, code: str, section: str, key: str, detail: str
    ) -> None:
        """Record an error."""
        raise NotImplementedError

    def text(self, section: str, key: str, default: str | None = None) -> str:
        """Read a string."""
        value = self.parser.get(section, key, fallback="").strip()
        if not value and default is None:
            self.add_error("missing", section, key, "must be given")
        return value or default or ""

    def words(self, section: str, key: str) -> list[str]:
        """Read a list of words, separated by spaces or commas."""
        return self.text(section, key, "").replace(",", " ").split()

    def number(
        self,
        section: str,
        key: str,
        default: float | None,
        minimum: float,
        maximum: float,
    ) -> float:
        """Read a number from ``minimum`` to ``maximum``."""
        value = self._raw_value(section, key, default)
        if not value:
            return minimum if default is None else default
        try:
            number = float(value)
        except ValueError:
            self.add_error(
                "not-a-number", section, key, f"not a number: {value}"
            )
            return minimum
        if not minimum <= number <= maximum:
            detail = f"from {minimum} to {maximum}, not {value}"
            self.add_error("out-of-range", section, key, detail)
            return minimum
        return number

    def integer(
        self,
        section: str,
        key: str,
        default: int | None,
        minimum: int,
        maximum: int,
    ) -> int:
        """Read an integer from ``minimum`` to ``maximum``."""
        value = self._raw_value(section, key, default)
        if not value:
            return minimum if default is None else default
        if not _INTEGER.fullmatch(value):
            detail = f"not a whole number: {value}"
            self.add_error("not-a-number", section, key, detail)
            return minimum
        number = int(value)
        if not minimum <= number <= maximum:
            detail = f"from {minimum} to {maximum}, not {value}"
            self.add_error("out-of-range", section, key, detail)
            return minimum
        return number

    def _raw_value(self, section: str, key: str, default: object) -> str:
        """Return the text of a value; empty if it is not given."""
        return self.text(section, key, None if default is None else "")
