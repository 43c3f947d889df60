"""How large every container is that hangs on an object of this program."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sized
from typing import Any

_PLAIN = (str, bytes, int, float, bool, type(None), type)


def container_sizes(root: object, least: int = 1) -> dict[str, int]:
    """Path to length, of containers with at least so many members; each object is looked at once."""
    seen: set[int] = set()
    found: dict[str, int] = {}
    todo: deque[tuple[str, Any]] = deque([("", root)])
    while todo:
        path, thing = todo.popleft()
        if isinstance(thing, _PLAIN) or id(thing) in seen:
            continue
        seen.add(id(thing))
        if isinstance(thing, (dict, list, set, frozenset, deque, tuple)):
            if isinstance(thing, Sized) and len(thing) >= least and not isinstance(thing, tuple):
                found[path] = max(found.get(path, 0), len(thing))
            members = thing.values() if isinstance(thing, dict) else thing
            todo += [(f"{path}[]", member) for member in list(members)]
        elif type(thing).__module__.startswith(("harriertide", "asyncio", "collections")):
            todo += [(f"{path}.{name}", member) for name, member in _fields(thing)]
    return found


def _fields(thing: object) -> Iterator[tuple[str, object]]:
    yield from getattr(thing, "__dict__", {}).items()
    for kind in type(thing).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if hasattr(thing, name):
                yield name, getattr(thing, name)
