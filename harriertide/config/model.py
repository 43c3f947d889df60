"""The operator's file, checked key by key. Whatever is wrong is said with the key's full name."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harriertide.decide import api
from harriertide.decide.settings import SettingsError

Row = dict[str, Any]
State = dict[str, dict[str, Any]]
SECTIONS = ("boxes", "grades", "volumes", "limits")  # what plan and apply change


class OperatorFileError(SettingsError):
    """What cannot be used, in one plain line that names the key."""


@dataclass(frozen=True, slots=True)
class Number:
    """A number within bounds; without a default it must be given."""

    least: float
    most: float
    default: float | None = None
    whole: bool = True

    def read(self, value: Any, name: str) -> float:
        fit = isinstance(value, int) or (not self.whole and isinstance(value, float))
        if isinstance(value, bool) or not fit or not self.least <= value <= self.most:
            kind = "whole number" if self.whole else "number"
            raise OperatorFileError(f"{name}: must be a {kind} from {self.least:g} to {self.most:g}")
        return int(value) if self.whole else float(value)


@dataclass(frozen=True, slots=True)
class Text:
    """A text of a form, described for people."""

    form: str
    says: str
    default: str | None = None

    def read(self, value: Any, name: str) -> str:
        if not isinstance(value, str) or not re.fullmatch(self.form, value):
            raise OperatorFileError(f"{name}: must be {self.says}")
        return value


Key = Number | Text
_LOOPBACK = Text(r"(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|localhost):\d{1,5}", "a loopback address with a port")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_NAMED = Text(_NAME.pattern, "a name of a-z, 0-9, dots and dashes")

TOP: dict[str, Key] = {
    "listen": _LOOPBACK,
    "admin": _LOOPBACK,
    "catalogue": Text(r".+", "the path of the catalogue's file"),
}
ROWS: dict[str, dict[str, Key]] = {
    "boxes": {
        "address": _LOOPBACK,
        "shard": Number(0, 100_000),
        "state": Text("up|draining", "up or draining", "up"),
    },
    "grades": {
        "reserve": Number(0, 1e9, 0, whole=False),
        "weight": Number(0, 1e6, 1, whole=False),
        "worth": Number(0, 1e6, 1, whole=False),
    },
    "volumes": {"grade": Text(r"[a-z0-9][a-z0-9.-]{0,62}", "the name of a grade")},
}
_LABEL = Text(r"[A-Za-z0-9._-]{0,62}", "a label of letters, digits, dots and dashes", "")
MAINTENANCE: dict[str, Key] = {
    "name": _NAMED,
    "folder": Text(r".+", "the path of this broker's folder"),
    "events": Text(r".*", "the path of a log for judges", ""),
    "lease_ms": Number(500, 60_000, 3_000),
    "blind_s": Number(0, 1_000_000, 0),
    "cold_s": Number(0, 100_000, 10),
}
BROKER: dict[str, Key] = {
    "address": _LOOPBACK,
    "voter": Text("yes|no", "yes or no", "no"),
    "zone": _LABEL,
    "rack": _LABEL,
    "release": _LABEL,
    "group": _LABEL,
}
LABEL: dict[str, Key] = {
    "zone": _LABEL,
    "rack": _LABEL,
    "release": _LABEL,
    "group": _LABEL,
    "units": Number(0, 1e9, 0, whole=False),
}
LIMITS: dict[str, Key] = {
    "read_aim_ms": Number(1, 600_000, 300),
    "read_deadline_ms": Number(1, 600_000, 2_000),
    "write_aim_ms": Number(1, 600_000, 500),
    "write_deadline_ms": Number(1, 600_000, 3_000),
    "bulk_aim_ms": Number(1, 600_000, 10_000),
    "bulk_deadline_ms": Number(1, 600_000, 30_000),
    "attempts": Number(1, 10, 4),
    "retry_after_ms": Number(1, 60_000, 500),
    "unit_kb": Number(1, 1_000_000, 256),
    "most_units": Number(1, 1_000, 8),
    "body_kb": Number(1, 5_000_000, 262_144),
    "part_least_kb": Number(0, 5_000_000, 5_120),
    "upload_hours": Number(1, 100_000, 168),
    "repeat_kb": Number(1, 65_536, 1_024),
    "repeat_total_kb": Number(1, 131_072, 16_384),
}


@dataclass(frozen=True, slots=True)
class Operator:
    """A whole file: where the daemon listens and keeps its catalogue, and the state that it states."""

    listen: str
    admin: str
    catalogue: str
    state: State
    maintenance: Maintenance | None = None


@dataclass(frozen=True, slots=True)
class Maintenance:
    """The section that has brokers agree. brokers, labels: rows by name."""

    name: str
    folder: str
    events: str
    lease_ms: int
    blind_s: int
    cold_s: int
    brokers: dict[str, Row]
    labels: dict[str, Row]


def _row(raw: Any, keys: dict[str, Key], name: str) -> Row:
    if not isinstance(raw, dict):
        raise OperatorFileError(f"{name}: must be a table")
    for key in raw:
        if key not in keys:
            raise OperatorFileError(f"{name}.{key}: unknown key")
    row: Row = {}
    for key, kind in keys.items():
        if key in raw:
            row[key] = kind.read(raw[key], f"{name}.{key}")
        elif kind.default is None:
            raise OperatorFileError(f"{name}.{key}: is missing")
        else:
            row[key] = kind.read(kind.default, f"{name}.{key}")
    return row


def read_state(raw: Row) -> State:
    """The four sections, complete and checked against each other."""
    state: State = {}
    for section, keys in ROWS.items():
        table = raw.get(section, {})
        if not isinstance(table, dict):
            raise OperatorFileError(f"{section}: must be a table")
        for name in table:
            if not _NAME.fullmatch(name):
                raise OperatorFileError(f"{section}.{name}: names are of a-z, 0-9, dots and dashes")
        state[section] = {name: _row(row, keys, f"{section}.{name}") for name, row in sorted(table.items())}
    state["limits"] = _row(raw.get("limits", {}), LIMITS, "limits")
    limits = state["limits"]
    for kind in ("read", "write", "bulk"):
        if limits[f"{kind}_aim_ms"] > limits[f"{kind}_deadline_ms"]:
            raise OperatorFileError(f"limits.{kind}_aim_ms: must not be over limits.{kind}_deadline_ms")
    if limits["repeat_kb"] > limits["repeat_total_kb"]:
        raise OperatorFileError("limits.repeat_kb: must not be over limits.repeat_total_kb")
    if not state["grades"]:
        raise OperatorFileError("grades: must name at least one grade")
    for name, volume in state["volumes"].items():
        if volume["grade"] not in state["grades"]:
            raise OperatorFileError(f"volumes.{name}.grade: there is no grade {volume['grade']}")
    shards: dict[int, str] = {}
    for name, box in state["boxes"].items():
        other = shards.setdefault(box["shard"], name)
        if other != name:
            raise OperatorFileError(f"boxes.{name}.shard: is that of box {other}")
    return state


def read_operator(raw: Row) -> Operator:
    """A parsed file."""
    for key in raw:
        if key not in TOP and key not in SECTIONS and key != "maintenance":
            raise OperatorFileError(f"{key}: unknown key")
    top = _row({key: value for key, value in raw.items() if key in TOP}, TOP, "file")
    state = read_state(raw)
    upkeep = _maintenance(raw["maintenance"], state) if "maintenance" in raw else None
    return Operator(top["listen"], top["admin"], top["catalogue"], state, upkeep)


def _maintenance(raw: Any, state: State) -> Maintenance:
    """Who agrees, and what orders may name."""
    if not isinstance(raw, dict):
        raise OperatorFileError("maintenance: must be a table")
    tables: dict[str, dict[str, Row]] = {}
    for section, keys in (("brokers", BROKER), ("labels", LABEL)):
        table = raw.get(section, {})
        if not isinstance(table, dict):
            raise OperatorFileError(f"maintenance.{section}: must be a table")
        for name in table:
            if not _NAME.fullmatch(name):
                raise OperatorFileError(
                    f"maintenance.{section}.{name}: names are of a-z, 0-9, dots and dashes"
                )
        tables[section] = {
            name: _row(row, keys, f"maintenance.{section}.{name}") for name, row in table.items()
        }
    top = _row({k: v for k, v in raw.items() if k not in tables}, MAINTENANCE, "maintenance")
    brokers = tables["brokers"]
    if top["name"] not in brokers:
        raise OperatorFileError(f"maintenance.name: maintenance.brokers has no {top['name']}")
    if len(brokers) > 200:
        raise OperatorFileError("maintenance.brokers: 200 at most")
    voters = sum(row["voter"] == "yes" for row in brokers.values())
    if voters not in (1, 3, 5, 7):
        raise OperatorFileError(f"maintenance.brokers: 1, 3, 5 or 7 must be voters, not {voters}")
    if len(brokers) > 25 and top["lease_ms"] < 2_000:  # reports of the farthest pass through three others
        raise OperatorFileError("maintenance.lease_ms: must be at least 2000 for more than 25 brokers")
    seen: dict[str, str] = {}
    for name, row in brokers.items():
        if name in state["boxes"]:
            raise OperatorFileError(f"maintenance.brokers.{name}: is the name of a box")
        if seen.setdefault(row["address"], name) != name:
            raise OperatorFileError(f"maintenance.brokers.{name}.address: is that of {seen[row['address']]}")
    for name in tables["labels"]:
        if name not in state["boxes"]:
            raise OperatorFileError(f"maintenance.labels.{name}: there is no box {name}")
    return Maintenance(**top, brokers=brokers, labels=tables["labels"])


def load(path: str) -> Operator:
    """A file of the operator's."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise OperatorFileError(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise OperatorFileError(f"{path}: not TOML: {fault}") from None
    return read_operator(raw)


def settings(state: State, grades: list[str]) -> api.Settings:
    """The module's settings for a state. grades: their order, which only grows while a daemon runs, so
    that a plan's number never changes its meaning; a grade that is no longer stated keeps its place."""
    limits = state["limits"]

    def kind(name: str, worth: float) -> api.RequestClass:
        latency_objective_us, deadline_us = (
            limits[f"{name}_aim_ms"] * 1000,
            limits[f"{name}_deadline_ms"] * 1000,
        )
        return api.RequestClass(
            latency_objective_us, deadline_us, priority_weight=worth, late_priority_weight=worth / 10
        )

    plans = []
    for name in grades:
        row = state["grades"].get(name)
        plans.append(
            api.Plan(reserved_rate=row["reserve"], weight=row["weight"], priority_factor=row["worth"])
            if row
            else api.Plan()
        )
    return api.Settings(
        broker_index=0,
        broker_count=1,
        classes=(kind("read", 3.0), kind("write", 3.0), kind("bulk", 3.0)),
        plans=tuple(plans),
        shard_count=1 + max([box["shard"] for box in state["boxes"].values()], default=0),
        mean_request_units=max(1.0, limits["most_units"] / 4),
        max_request_units=limits["most_units"],
        within_quota_weight=0.35,
        beyond_quota_weight=0.08,
        retry_after_allowed=True,
        max_retry_after_us=limits["retry_after_ms"] * 1000,
        max_attempts=limits["attempts"],
        tick_us=2_000,
    )


def news(old: State, new: State, started_us: dict[str, int] | None = None) -> api.EndpointUpdate:
    """What the core is told of the boxes: a change of the list. started_us: of boxes that came back cold."""
    started_us = started_us or {}
    changed = [
        api.NodeEntry(
            name,
            box["shard"],
            "live" if box["state"] == "up" else "draining",
            started_us=started_us.get(name, 0),
        )
        for name, box in new["boxes"].items()
        if old["boxes"].get(name) != box
    ]
    gone = [
        api.NodeEntry(name, box["shard"], "gone")
        for name, box in old["boxes"].items()
        if name not in new["boxes"]
    ]
    return api.EndpointUpdate("delta", (*gone, *changed))
