"""How two states differ, as lines that a person reads before applying them."""

from __future__ import annotations

import hashlib
import json

from harriertide.config.model import State


def digest(state: State) -> str:
    """A fingerprint of a state."""
    return hashlib.sha256(json.dumps(state, sort_keys=True).encode()).hexdigest()


def _flat(state: State) -> dict[str, dict[str, object]]:
    """Rows by their full name."""
    rows: dict[str, dict[str, object]] = {"limits": dict(state["limits"])}
    for section in ("boxes", "grades", "volumes"):
        for name, row in state[section].items():
            rows[f"{section}.{name}"] = dict(row)
    return rows


def lines(old: State, new: State) -> list[str]:
    """+ for what is added, ~ for each changed key with its values, - for what is taken away."""
    before, after = _flat(old), _flat(new)
    said = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            keys = ", ".join(f"{key}={value}" for key, value in after[name].items())
            said.append(f"+ {name} ({keys})")
        elif name not in after:
            said.append(f"- {name}")
        else:
            was, now = before[name], after[name]
            changed = [key for key in now if was.get(key) != now[key]]
            said += [f"~ {name}.{key}: {was.get(key)} -> {now[key]}" for key in changed]
    return said
