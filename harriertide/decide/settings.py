"""Reads the JSON settings object that the simulator and the platform's configuration provide.

This module alone maps the keys of that object to the names that the code uses (`decide.api`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from harriertide.decide import api
from harriertide.decide.settings_section import SettingsError, SettingsSection

__all__ = [
    "Fields",
    "Names",
    "SettingsError",
    "SettingsSection",
    "from_wire",
    "keep_numbers",
    "names_from_wire",
]

Fields = dict[str, Any]  # a JSON object

DEFAULT_POLL_INTERVAL_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_IDLE_TIMEOUT_US = 15_000_000
_NUMBERED_LISTS = ("classes", "plans")  # lists whose entries are referred to by their number

_IDEMPOTENCY: dict[str, api.Idempotency] = {
    "idempotent": "idempotent",
    "deduplicated": "keyed",
    "at_most_once": "non_idempotent",
}
_DEDUPLICATION_SCOPES: dict[str, api.DeduplicationScope] = {"all": "all", "zone": "zone", "cell": "shard"}


def from_wire(raw: Fields) -> api.Settings:
    """Read the settings of the decision module from the JSON settings object.

    :raises KeyError: a key is missing; its argument is the key's full path
    :raises ValueError: a key holds an invalid value; the message names the key's full path
    """
    top = SettingsSection(raw, "settings")
    limits, safety, domain = top.section("limits"), top.section("safety"), top.section("domain")
    retry_window_us = safety.integer("resendSpanUs", 0)
    _check_ranges(top, safety, domain)
    return api.Settings(
        broker_index=top.integer("index"),
        broker_count=top.integer("groupSize", minimum=1),
        classes=tuple(map(_request_class, top.sections("classes"))),
        plans=tuple(map(_plan, top.sections("plans"))),
        shard_count=domain.integer("nShards", minimum=1),
        mean_request_units=domain.number("meanUnits"),
        max_request_units=domain.number("maxUnits"),
        within_quota_weight=domain.number("withinShare"),
        beyond_quota_weight=domain.number("beyondShare"),
        slow_start_units=domain.number("youngLimit"),
        slow_start_initial_ratio=safety.number("coldFrom"),
        slow_start_us=safety.integer("coldUs"),
        collapse_window_us=safety.integer("fallUs"),
        collapse_load_ratio=safety.number("fallMultiple", 1.0, minimum=1),
        polls_endpoint_list=top.choice("membershipMode", ("push", "ask")) == "ask",
        poll_interval_us=safety.integer("askWithinUs", 0) or DEFAULT_POLL_INTERVAL_US,
        peer_messages_allowed=limits.flag("peers"),
        retry_after_allowed=limits.flag("retryAfter"),
        cancel_allowed=limits.flag("cancel", False),
        max_retry_after_us=limits.integer("maxRetryAfterUs", 0),
        max_attempts=limits.integer("tryLimit", minimum=1),
        probes_allowed=limits.flag("probes", False),
        tick_us=top.integer("roundUs", minimum=1),
        key_quiet_us=safety.integer("keyQuietUs", 0),
        retry_budget_floor=safety.number("extraFloor", 0) if retry_window_us else None,
        retry_budget_ratio=safety.number("resendRatio", 0),
        retry_budget_window_us=retry_window_us,
    )


def _check_ranges(top: SettingsSection, safety: SettingsSection, domain: SettingsSection) -> None:
    """Check ranges that `api.Settings` checks too, to name the JSON keys in the error messages."""
    if top.integer("index") >= top.integer("groupSize", minimum=1):
        raise ValueError("settings.index: must be below settings.groupSize")
    for section, key in ((domain, "meanUnits"), (domain, "maxUnits"), (safety, "coldFrom")):
        if section.number(key) == 0:
            raise ValueError(f"{section.path}.{key}: must be above 0")
    if safety.number("coldFrom") > 1:
        raise ValueError("settings.safety.coldFrom: must be at most 1")


def _request_class(row: SettingsSection) -> api.RequestClass:
    scope = row.choice("dedupScope", tuple(_DEDUPLICATION_SCOPES), "all")
    return api.RequestClass(
        latency_objective_us=row.integer("sloUs", minimum=1),
        deadline_us=row.integer("deadlineUs", minimum=1),
        priority_weight=row.number("worth"),
        late_priority_weight=row.number("lateWorth", 0),
        idempotency=_IDEMPOTENCY[row.choice("effect", tuple(_IDEMPOTENCY))],
        deduplication_scope=_DEDUPLICATION_SCOPES[scope],
        deduplication_window_us=row.integer("windowUs", 0),
        in_order=row.flag("inOrder", False),
    )


def _plan(row: SettingsSection) -> api.Plan:
    return api.Plan(
        reserved_rate=row.number("guaranteed"),
        weight=row.number("weight"),
        priority_factor=row.number("valueFactor"),
        rate_limit=row.number("ceilingRate"),
        burst_limit_units=row.number("mostAtOnce"),
    )


def keep_numbers(raw: Fields, running: Fields) -> Fields:
    """Return the new settings with each class and plan under the number that it has in the running settings.

    A number never changes its meaning, as a reload would otherwise give open requests another class or plan.
    New classes and plans come after the known ones; a class or plan that the new settings no longer name
    keeps its number and values.
    """
    renumbered = dict(raw)
    for key in _NUMBERED_LISTS:
        new_entries = {entry["name"]: entry for entry in raw[key]}
        kept = [new_entries.pop(entry["name"], entry) for entry in running[key]]
        renumbered[key] = [*kept, *new_entries.values()]
    return renumbered


@dataclass(frozen=True, slots=True)
class Names:
    """Settings that the decision module does not use: numbers by name, and timeouts of connections to nodes.

    :ivar classes, plans, zones: the numbers of the decision module by the names that clients and discovery
        use
    :ivar connect_us: timeout for connecting to a node
    :ivar idle_us: a connection to a node is closed after it has been idle for this time
    """

    classes: dict[str, int]
    plans: dict[str, int]
    zones: dict[str, int]
    connect_us: int
    idle_us: int


def names_from_wire(raw: Fields, stated: Fields | None = None) -> Names:
    """Read the names of classes, plans and zones, and the connection timeouts.

    :param stated: settings that list the classes and plans that clients may use; None: all those of raw
    :raises KeyError, ValueError: see from_wire
    """
    top = SettingsSection(raw, "settings")
    usable = SettingsSection(stated or raw, "settings")
    limits = top.section("limits")
    return Names(
        classes=_numbers_by_name(top, usable, "classes"),
        plans=_numbers_by_name(top, usable, "plans"),
        zones={name: number for number, name in enumerate(top.texts("zones"))},
        connect_us=limits.integer("connectTimeoutUs", 0) or DEFAULT_CONNECT_TIMEOUT_US,
        idle_us=limits.integer("connIdleUs", 0) or DEFAULT_IDLE_TIMEOUT_US,
    )


def _numbers_by_name(top: SettingsSection, usable: SettingsSection, key: str) -> dict[str, int]:
    names = _unique_names(usable, key)
    return {name: number for number, name in enumerate(_unique_names(top, key)) if name in names}


def _unique_names(top: SettingsSection, key: str) -> list[str]:
    names: list[str] = []
    for row in top.sections(key):
        name = row.text("name")
        if name in names:
            raise ValueError(f"{row.path}.name: is there twice")
        names.append(name)
    return names
