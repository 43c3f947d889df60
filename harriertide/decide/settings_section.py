"""Reads and checks a JSON settings object key by key; errors name the full path of a key."""

from __future__ import annotations

from collections.abc import Sequence

MAX_NUMBER = 1e18  # larger numbers lose integer precision and overflow in sums of times
_REQUIRED = object()  # in place of a default: the key must be present


class SettingsError(Exception):
    """An operator's settings are invalid; the message is one line that names the key."""


class SettingsSection:
    """One object within the settings.

    Each method reads one key. It raises KeyError if a key without a default is missing, and ValueError if the
    key holds an invalid value. A key that holds null counts as missing.

    :param raw: the decoded JSON value
    :param path: of this object from the top level; "" for the top level itself
    """

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ValueError(f"{path or 'the top level'}: must be an object")
        self._raw = raw
        self.path = path

    def _path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def _get(self, key: str, default: object) -> object:
        value = self._raw.get(key)
        if value is not None:
            return value
        if default is _REQUIRED:
            raise KeyError(self._path_of(key))
        return default

    def section(self, key: str) -> SettingsSection:
        """Read an object."""
        return SettingsSection(self._get(key, _REQUIRED), self._path_of(key))

    def sections(self, key: str) -> list[SettingsSection]:
        """Read a list of at least one object."""
        value = self._get(key, _REQUIRED)
        if not isinstance(value, list) or not value:
            raise ValueError(f"{self._path_of(key)}: must be a list with at least one entry")
        return [
            SettingsSection(row, f"{self._path_of(key)}[{position}]") for position, row in enumerate(value)
        ]

    def text(self, key: str, default: object = _REQUIRED) -> str:
        """Read a string, which may be empty only if the default is."""
        value = self._get(key, default)
        if not isinstance(value, str) or not (value or value == default):
            raise ValueError(f"{self._path_of(key)}: must be a string that is not empty")
        return value

    def texts(self, key: str) -> list[str]:
        """Read a list of strings; empty if the key is missing."""
        value = self._get(key, [])
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise ValueError(f"{self._path_of(key)}: must be a list of strings")
        return value

    def flag(self, key: str, default: object = _REQUIRED) -> bool:
        """Read a boolean."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise ValueError(f"{self._path_of(key)}: must be true or false")
        return value

    def flags(self, key: str) -> tuple[bool, ...]:
        """Read a list of booleans; empty if the key is missing."""
        value = self._get(key, [])
        if not isinstance(value, list) or not all(isinstance(each, bool) for each in value):
            raise ValueError(f"{self._path_of(key)}: must be a list whose entries are true or false")
        return tuple(value)

    def number(self, key: str, default: object = _REQUIRED, minimum: float = 0) -> float:
        """Read a number from minimum to below MAX_NUMBER."""
        value = self._get(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value < MAX_NUMBER:  # type: ignore[operator]
            raise ValueError(f"{self._path_of(key)}: must be a number below 1e18 and at least {minimum:g}")
        return value  # type: ignore[return-value]

    def integer(self, key: str, default: object = _REQUIRED, minimum: int = 0) -> int:
        """Read a whole number from minimum to below MAX_NUMBER."""
        value = self.number(key, default, minimum)
        if value != int(value):
            raise ValueError(f"{self._path_of(key)}: must be a whole number")
        return int(value)

    def choice(self, key: str, known: Sequence[str], default: object = _REQUIRED) -> str:
        """Read a string that is one of the known values."""
        value = self._get(key, default)
        if not isinstance(value, str) or value not in known:
            raise ValueError(f"{self._path_of(key)}: must be one of {', '.join(known)}")
        return value
