"""Removal of expired entries from dicts that are kept in order of age."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


def expire_oldest(entries: dict[Key, Value], has_expired: Callable[[Value], bool]) -> list[tuple[Key, Value]]:
    """Remove expired entries from the beginning of a dict.

    :param entries: in order of age, oldest first; the search ends at the first entry that has not expired
    :returns: the removed entries, oldest first
    """
    expired: list[tuple[Key, Value]] = []
    for key, value in entries.items():
        if not has_expired(value):
            break
        expired.append((key, value))
    for key, _ in expired:
        del entries[key]
    return expired
