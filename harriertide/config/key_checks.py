"""Checks of single keys and tables of the operator's file. Each error names the key by its full path."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from harriertide.config.errors import OperatorFileError

Row = dict[str, Any]  # one checked table, every key present

_NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"


@dataclass(frozen=True, slots=True)
class NumberKey:
    """A number within bounds.

    :param default: taken where the key is absent; None: the key must be given.
    :param whole: whether only whole numbers are accepted.
    """

    minimum: float
    maximum: float
    default: float | None = None
    whole: bool = True

    def read(self, value: Any, path: str) -> float:
        """Check a value.

        :param path: full path of the key, for the error.
        :raises OperatorFileError: where it is no such number.
        """
        has_type = isinstance(value, int) or (not self.whole and isinstance(value, float))
        if isinstance(value, bool) or not has_type or not self.minimum <= value <= self.maximum:
            kind = "whole number" if self.whole else "number"
            raise OperatorFileError(f"{path}: must be a {kind} from {self.minimum:g} to {self.maximum:g}")
        return int(value) if self.whole else float(value)


@dataclass(frozen=True, slots=True)
class TextKey:
    """A text that matches a pattern.

    :param description: of the pattern, for people.
    :param default: taken where the key is absent; None: the key must be given.
    """

    pattern: str
    description: str
    default: str | None = None

    def read(self, value: Any, path: str) -> str:
        """Check a value.

        :param path: full path of the key, for the error.
        :raises OperatorFileError: where it is no such text.
        """
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value):
            raise OperatorFileError(f"{path}: must be {self.description}")
        return value


Key = NumberKey | TextKey
Keys = Mapping[str, Key]

# Both sides of every address are on this machine: none of these listeners speaks TLS or asks who calls.
LOOPBACK_ADDRESS = TextKey(
    r"(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|localhost):\d{1,5}", "a loopback address with a port"
)
NAME = TextKey(_NAME_PATTERN, "a name of a-z, 0-9, dots and dashes")
GRADE_NAME = TextKey(_NAME_PATTERN, "the name of a grade")


def read_row(raw: Any, keys: Keys, path: str) -> Row:
    """One table, complete: absent keys have their defaults.

    :raises OperatorFileError: where a key is unknown, missing or wrong.
    """
    if not isinstance(raw, dict):
        raise OperatorFileError(f"{path}: must be a table")
    for name in raw:
        if name not in keys:
            raise OperatorFileError(f"{path}.{name}: unknown key")
    row: Row = {}
    for name, key in keys.items():
        if name in raw:
            row[name] = key.read(raw[name], f"{path}.{name}")
        elif key.default is None:
            raise OperatorFileError(f"{path}.{name}: is missing")
        else:
            row[name] = key.read(key.default, f"{path}.{name}")
    return row


def read_named_rows(raw: Any, keys: Keys, path: str) -> dict[str, Row]:
    """A table of named tables of one form, in the file's order.

    :raises OperatorFileError: where a name or one of the tables is wrong.
    """
    if not isinstance(raw, dict):
        raise OperatorFileError(f"{path}: must be a table")
    for name in raw:
        if not re.fullmatch(_NAME_PATTERN, name):
            raise OperatorFileError(f"{path}.{name}: names are of a-z, 0-9, dots and dashes")
    return {name: read_row(row, keys, f"{path}.{name}") for name, row in raw.items()}
