"""How two states differ, as lines that a person reads before applying them."""

from __future__ import annotations

import hashlib
import json

from harriertide.config.operator_file import State


def digest(state: State) -> str:
    """A fingerprint of a state: equal states have equal ones."""
    return hashlib.sha256(json.dumps(state, sort_keys=True).encode()).hexdigest()


def describe_changes(old: State, new: State) -> list[str]:
    """One line for each change: `+` an added row, `~` a changed key with both values, `-` a removed row."""
    before, after = _rows_by_path(old), _rows_by_path(new)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            values = ", ".join(f"{key}={value}" for key, value in after[path].items())
            lines.append(f"+ {path} ({values})")
        elif path not in after:
            lines.append(f"- {path}")
        else:
            lines += _describe_row_changes(path, before[path], after[path])
    return lines


def _rows_by_path(state: State) -> dict[str, dict[str, object]]:
    rows: dict[str, dict[str, object]] = {"limits": dict(state["limits"])}
    for section in ("boxes", "grades", "volumes"):
        for name, row in state[section].items():
            rows[f"{section}.{name}"] = dict(row)
    return rows


def _describe_row_changes(path: str, before: dict[str, object], after: dict[str, object]) -> list[str]:
    return [
        f"~ {path}.{key}: {before.get(key)} -> {value}"
        for key, value in after.items()
        if before.get(key) != value
    ]
