"""Measures the lengths of all containers that are reachable from an object of this program."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sized
from typing import Any

_SCALAR_TYPES = (str, bytes, int, float, bool, type(None), type)


def container_sizes(root: object, min_length: int = 1) -> dict[str, int]:
    """Return the lengths of containers with at least `min_length` members, by path; visits objects once."""
    visited_ids: set[int] = set()
    sizes: dict[str, int] = {}
    pending: deque[tuple[str, Any]] = deque([("", root)])
    while pending:
        path, value = pending.popleft()
        if isinstance(value, _SCALAR_TYPES) or id(value) in visited_ids:
            continue
        visited_ids.add(id(value))
        if isinstance(value, (dict, list, set, frozenset, deque, tuple)):
            if isinstance(value, Sized) and len(value) >= min_length and not isinstance(value, tuple):
                sizes[path] = max(sizes.get(path, 0), len(value))
            members = value.values() if isinstance(value, dict) else value
            pending += [(f"{path}[]", member) for member in list(members)]
        elif type(value).__module__.startswith(("harriertide", "asyncio", "collections")):
            pending += [(f"{path}.{name}", member) for name, member in _fields(value)]
    return sizes


def _fields(value: object) -> Iterator[tuple[str, object]]:
    yield from getattr(value, "__dict__", {}).items()
    for kind in type(value).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if hasattr(value, name):
                yield name, getattr(value, name)
