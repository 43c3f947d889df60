"""Checked reading of settings: an object of JSON, key by key; errors name the whole path of a key."""

from __future__ import annotations

from collections.abc import Sequence

MAX_NUMBER = 1e18  # beyond it whole numbers are no longer exact, and sums of times run over
_REQUIRED = object()  # no default: the key must be there


class SettingsError(Exception):
    """Settings that an operator has given cannot be used; one plain line that names the key."""


class SettingsSection:
    """An object of the settings.

    Each method reads one key and raises KeyError where a key without a default is missing, and ValueError
    where it holds something else than it should. A key that holds null counts as missing.

    :param raw: what the file holds there
    :param path: of the object from the top, "" for the top itself
    """

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ValueError(f"{path or 'the whole'}: must be an object")
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
        """An object within this one."""
        return SettingsSection(self._get(key, _REQUIRED), self._path_of(key))

    def sections(self, key: str) -> list[SettingsSection]:
        """A list of objects, one at least."""
        value = self._get(key, _REQUIRED)
        if not isinstance(value, list) or not value:
            raise ValueError(f"{self._path_of(key)}: must be a list, and not empty")
        return [SettingsSection(row, f"{self._path_of(key)}[{place}]") for place, row in enumerate(value)]

    def text(self, key: str, default: object = _REQUIRED) -> str:
        """A text that is not empty, unless that is the default."""
        value = self._get(key, default)
        if not isinstance(value, str) or not (value or value == default):
            raise ValueError(f"{self._path_of(key)}: must be a text")
        return value

    def texts(self, key: str) -> list[str]:
        """A list of texts; none where the key is missing."""
        value = self._get(key, [])
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise ValueError(f"{self._path_of(key)}: must be a list of texts")
        return value

    def flag(self, key: str, default: object = _REQUIRED) -> bool:
        """True or false."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise ValueError(f"{self._path_of(key)}: must be true or false")
        return value

    def flags(self, key: str) -> tuple[bool, ...]:
        """A list of true and false; none where the key is missing."""
        value = self._get(key, [])
        if not isinstance(value, list) or not all(isinstance(each, bool) for each in value):
            raise ValueError(f"{self._path_of(key)}: must be a list of true and false")
        return tuple(value)

    def number(self, key: str, default: object = _REQUIRED, least: float = 0) -> float:
        """A number of at least so much."""
        value = self._get(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not least <= value < MAX_NUMBER:  # type: ignore[operator]
            raise ValueError(f"{self._path_of(key)}: must be a number of at least {least:g}")
        return value  # type: ignore[return-value]

    def integer(self, key: str, default: object = _REQUIRED, least: int = 0) -> int:
        """A whole number of at least so much."""
        value = self.number(key, default, least)
        if value != int(value):
            raise ValueError(f"{self._path_of(key)}: must be a whole number")
        return int(value)

    def choice(self, key: str, known: Sequence[str], default: object = _REQUIRED) -> str:
        """One of these words."""
        value = self._get(key, default)
        if not isinstance(value, str) or value not in known:
            raise ValueError(f"{self._path_of(key)}: must be one of {', '.join(known)}")
        return value
