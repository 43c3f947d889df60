"""The operator's file, read and checked key by key. An error names the key by its full path.

The part of it that `plan` and `apply` change is the *state*: plain tables, as the admin address sends them as
JSON and a plan holds their digest. What the decision module learns of a state is in `decision_settings`.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harriertide.config.errors import OperatorFileError
from harriertide.config.key_checks import (
    GRADE_NAME,
    LOOPBACK_ADDRESS,
    Key,
    NumberKey,
    Row,
    TextKey,
    read_named_rows,
    read_row,
)
from harriertide.config.maintenance_section import MaintenanceSettings, read_maintenance_section

State = dict[str, dict[str, Any]]
SECTIONS = ("boxes", "grades", "volumes", "limits")  # of a state: what plan and apply change

FILE_KEYS: dict[str, Key] = {
    "listen": LOOPBACK_ADDRESS,
    "admin": LOOPBACK_ADDRESS,
    "catalogue": TextKey(r".+", "the path of the catalogue's file"),
}
NAMED_SECTION_KEYS: dict[str, dict[str, Key]] = {
    "boxes": {
        "address": LOOPBACK_ADDRESS,
        "shard": NumberKey(0, 100_000),
        "state": TextKey("up|draining", "up or draining", "up"),
    },
    "grades": {
        "reserve": NumberKey(0, 1e9, 0, whole=False),
        "weight": NumberKey(0, 1e6, 1, whole=False),
        "worth": NumberKey(0, 1e6, 1, whole=False),
    },
    "volumes": {"grade": GRADE_NAME},
}
LIMIT_KEYS: dict[str, Key] = {
    "read_aim_ms": NumberKey(1, 600_000, 300),
    "read_deadline_ms": NumberKey(1, 600_000, 2_000),
    "write_aim_ms": NumberKey(1, 600_000, 500),
    "write_deadline_ms": NumberKey(1, 600_000, 3_000),
    "bulk_aim_ms": NumberKey(1, 600_000, 10_000),
    "bulk_deadline_ms": NumberKey(1, 600_000, 30_000),
    "attempts": NumberKey(1, 10, 4),
    "retry_after_ms": NumberKey(1, 60_000, 500),
    "unit_kb": NumberKey(1, 1_000_000, 256),
    "most_units": NumberKey(1, 1_000, 8),
    "body_kb": NumberKey(1, 5_000_000, 262_144),
    "part_least_kb": NumberKey(0, 5_000_000, 5_120),
    "upload_hours": NumberKey(1, 100_000, 168),
    "repeat_kb": NumberKey(1, 65_536, 1_024),
    "repeat_total_kb": NumberKey(1, 131_072, 16_384),
}


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A whole file, checked.

    :param listen: address of the object front, `host:port`.
    :param admin: address that takes plans, `host:port`.
    :param catalogue: path of the catalogue's file.
    :param state: the sections that may change while the daemon runs.
    :param maintenance: None: the brokers agree on nothing.
    """

    listen: str
    admin: str
    catalogue: str
    state: State
    maintenance: MaintenanceSettings | None = None


def load_operator_file(path: str) -> OperatorFile:
    """Read a file of the operator's.

    :raises OperatorFileError: where it can't be read, is not TOML, or a key of it is wrong.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorFileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path}: not TOML: {error}") from None
    return read_operator_file(raw)


def read_operator_file(raw: Row) -> OperatorFile:
    """Check a parsed file.

    :raises OperatorFileError: naming the key that is wrong.
    """
    for key in raw:
        if key not in FILE_KEYS and key not in SECTIONS and key != "maintenance":
            raise OperatorFileError(f"{key}: unknown key")
    file_keys = {key: value for key, value in raw.items() if key in FILE_KEYS}
    checked = read_row(file_keys, FILE_KEYS, "file")
    state = read_state(raw)
    maintenance = None
    if "maintenance" in raw:
        maintenance = read_maintenance_section(raw["maintenance"], state["boxes"])
    return OperatorFile(
        listen=checked["listen"],
        admin=checked["admin"],
        catalogue=checked["catalogue"],
        state=state,
        maintenance=maintenance,
    )


def read_state(raw: Row) -> State:
    """Check the four sections of a state, each complete, and against each other.

    Rows are sorted by name: a digest of two equal states is equal, however they were written.

    :raises OperatorFileError: naming the key that is wrong.
    """
    if not isinstance(raw, dict):
        raise OperatorFileError("state: must be a table")
    state: State = {}
    for section, keys in NAMED_SECTION_KEYS.items():
        rows = read_named_rows(raw.get(section, {}), keys, section)
        state[section] = dict(sorted(rows.items()))
    state["limits"] = read_row(raw.get("limits", {}), LIMIT_KEYS, "limits")
    _check_limits(state["limits"])
    _check_grades(state)
    _check_shards(state["boxes"])
    return state


def _check_limits(limits: Row) -> None:
    for kind in ("read", "write", "bulk"):
        if limits[f"{kind}_aim_ms"] > limits[f"{kind}_deadline_ms"]:
            raise OperatorFileError(f"limits.{kind}_aim_ms: must not be over limits.{kind}_deadline_ms")
    if limits["repeat_kb"] > limits["repeat_total_kb"]:
        raise OperatorFileError("limits.repeat_kb: must not be over limits.repeat_total_kb")


def _check_grades(state: State) -> None:
    if not state["grades"]:
        raise OperatorFileError("grades: must name at least one grade")
    for name, volume in state["volumes"].items():
        if volume["grade"] not in state["grades"]:
            raise OperatorFileError(f"volumes.{name}.grade: there is no grade {volume['grade']}")


def _check_shards(nodes: dict[str, Row]) -> None:
    """Each node is a shard of its own: its blobs are on no other."""
    owner_of_shard: dict[int, str] = {}
    for name, row in nodes.items():
        owner = owner_of_shard.setdefault(row["shard"], name)
        if owner != name:
            raise OperatorFileError(f"boxes.{name}.shard: is that of box {owner}")
