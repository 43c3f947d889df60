"""Forgetting what is old, in dicts that are kept in order of age."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


def expire_oldest(entries: dict[Key, Value], has_expired: Callable[[Value], bool]) -> list[tuple[Key, Value]]:
    """Take the entries that have expired from the beginning of a dict.

    :param entries: the oldest first: the search ends at the first that has not expired
    :returns: what was taken, the oldest first
    """
    expired: list[tuple[Key, Value]] = []
    for key, value in entries.items():
        if not has_expired(value):
            break
        expired.append((key, value))
    for key, _ in expired:
        del entries[key]
    return expired
