"""The settings object of the wire, as the simulator and the platform's configuration carry it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from harriertide.decide import api

Fields = dict[str, Any]


class SettingsError(Exception):
    """What an operator has given can't be used; one plain line that names the key."""


_NEEDED = object()  # no default: the key must be there
_IDEMPOTENCY = {"idempotent": "idempotent", "deduplicated": "keyed", "at_most_once": "non_idempotent"}
_DEDUPLICATION_SCOPES = {"all": "all", "zone": "zone", "cell": "shard"}


class Part:
    """An object of the settings, read key by key; what is off is named by its whole path.

    KeyError: a key is missing. ValueError: it holds something else than it should.
    """

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ValueError(f"{path or 'the whole'}: must be an object")
        self._raw, self.path = raw, path

    def _named(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _get(self, name: str, default: object) -> object:
        value = self._raw.get(name)
        if value is None:
            if default is _NEEDED:
                raise KeyError(self._named(name))
            return default
        return value

    def part(self, name: str) -> Part:
        """A part of its own."""
        return Part(self._get(name, _NEEDED), self._named(name))

    def rows(self, name: str) -> list[Part]:
        """A list of parts, one at least."""
        value = self._get(name, _NEEDED)
        if not isinstance(value, list) or not value:
            raise ValueError(f"{self._named(name)}: must be a list, and not empty")
        return [Part(row, f"{self._named(name)}[{place}]") for place, row in enumerate(value)]

    def text(self, name: str, default: object = _NEEDED) -> str:
        """A text that is not empty, unless that is the default."""
        value = self._get(name, default)
        if not isinstance(value, str) or not (value or value == default):
            raise ValueError(f"{self._named(name)}: must be a text")
        return value

    def texts(self, name: str) -> list[str]:
        """A list of texts; none where the key is missing."""
        value = self._get(name, [])
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise ValueError(f"{self._named(name)}: must be a list of texts")
        return value

    def flags(self, name: str) -> tuple[bool, ...]:
        """A list of true and false; none where the key is missing."""
        value = self._get(name, [])
        if not isinstance(value, list) or not all(isinstance(each, bool) for each in value):
            raise ValueError(f"{self._named(name)}: must be a list of true and false")
        return tuple(value)

    def number(self, name: str, default: object = _NEEDED, least: float = 0) -> float:
        """A number of at least so much."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < 1e18:
            raise ValueError(f"{self._named(name)}: must be a number of at least {least:g}")
        return value

    def whole(self, name: str, default: object = _NEEDED, least: int = 0) -> int:
        """A whole number of at least so much."""
        value = self.number(name, default, least)
        if value != int(value):
            raise ValueError(f"{self._named(name)}: must be a whole number")
        return int(value)

    def flag(self, name: str, default: object = _NEEDED) -> bool:
        """True or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise ValueError(f"{self._named(name)}: must be true or false")
        return value

    def choice(self, name: str, known: Sequence[str], default: object = _NEEDED) -> str:
        """One of these words."""
        value = self._get(name, default)
        if not isinstance(value, str) or value not in known:
            raise ValueError(f"{self._named(name)}: must be one of {', '.join(known)}")
        return value


def from_wire(raw: Fields) -> api.Settings:
    """The settings that the decision module is built with; KeyError or ValueError names what is off."""
    top = Part(raw, "settings")
    limits, safety, domain = top.part("limits"), top.part("safety"), top.part("domain")
    span_us = safety.whole("resendSpanUs", 0)
    if top.whole("index") >= top.whole("groupSize", least=1):
        raise ValueError("settings.index: must be below settings.groupSize")
    for part, name in ((domain, "meanUnits"), (domain, "maxUnits"), (safety, "coldFrom")):
        if part.number(name) == 0:
            raise ValueError(f"{part.path}.{name}: must be above 0")
    if safety.number("coldFrom") > 1:
        raise ValueError("settings.safety.coldFrom: must be at most 1")
    return api.Settings(
        broker_index=top.whole("index"),
        broker_count=top.whole("groupSize", least=1),
        classes=tuple(map(_request_class, top.rows("classes"))),
        plans=tuple(map(_plan, top.rows("plans"))),
        shard_count=domain.whole("nShards", least=1),
        mean_request_units=domain.number("meanUnits"),
        max_request_units=domain.number("maxUnits"),
        within_quota_weight=domain.number("withinShare"),
        beyond_quota_weight=domain.number("beyondShare"),
        slow_start_units=domain.number("youngLimit"),
        slow_start_initial_ratio=safety.number("coldFrom"),
        slow_start_us=safety.whole("coldUs"),
        collapse_window_us=safety.whole("fallUs"),
        collapse_load_ratio=safety.number("fallMultiple", 1.0, least=1),
        polls_endpoint_list=top.choice("membershipMode", ("push", "ask")) == "ask",
        poll_interval_us=safety.whole("askWithinUs", 0) or 10_000_000,
        peer_messages_allowed=limits.flag("peers"),
        retry_after_allowed=limits.flag("retryAfter"),
        cancel_allowed=limits.flag("cancel", False),
        max_retry_after_us=limits.whole("maxRetryAfterUs", 0),
        max_attempts=limits.whole("tryLimit", least=1),
        probes_allowed=limits.flag("probes", False),
        tick_us=top.whole("roundUs", least=1),
        key_quiet_us=safety.whole("keyQuietUs", 0),
        retry_budget_floor=safety.number("extraFloor", 0) if span_us else None,
        retry_budget_ratio=safety.number("resendRatio", 0),
        retry_budget_window_us=span_us,
    )


def in_places(raw: Fields, held: Fields) -> Fields:
    """New settings with each class and plan in the place that it held, and unknown ones after them.

    Guards against a reload giving requests that are under way another class or plan: a number never changes
    its meaning, and one whose name is no longer stated keeps its place and figures.
    """
    placed = dict(raw)
    for part in ("classes", "plans"):
        fresh = {entry["name"]: entry for entry in raw[part]}
        places = [fresh.pop(entry["name"], entry) for entry in held[part]]
        placed[part] = [*places, *fresh.values()]
    return placed


def _request_class(row: Part) -> api.RequestClass:
    scope = row.choice("dedupScope", tuple(_DEDUPLICATION_SCOPES), "all")
    return api.RequestClass(
        latency_objective_us=row.whole("sloUs", least=1),
        deadline_us=row.whole("deadlineUs", least=1),
        priority_weight=row.number("worth"),
        late_priority_weight=row.number("lateWorth", 0),
        idempotency=_IDEMPOTENCY[row.choice("effect", tuple(_IDEMPOTENCY))],  # type: ignore[arg-type]
        deduplication_scope=_DEDUPLICATION_SCOPES[scope],  # type: ignore[arg-type]
        deduplication_window_us=row.whole("windowUs", 0),
        in_order=row.flag("inOrder", False),
    )


def _plan(row: Part) -> api.Plan:
    return api.Plan(
        reserved_rate=row.number("guaranteed"),
        weight=row.number("weight"),
        priority_factor=row.number("valueFactor"),
        rate_limit=row.number("ceilingRate"),
        burst_limit_units=row.number("mostAtOnce"),
    )


@dataclass(frozen=True, slots=True)
class Names:
    """What the sockets call the things that the module numbers, and the figures only sockets need."""

    classes: dict[str, int]
    plans: dict[str, int]
    zones: dict[str, int]
    connect_us: int
    idle_us: int


def names_from_wire(raw: Fields, stated: Fields | None = None) -> Names:
    """The names of classes, plans and zones, by their places in the settings; those stated only."""

    def places(part: str) -> dict[str, int]:
        known = _names(Part(stated or raw, "settings"), part)
        return {name: place for place, name in enumerate(_names(top, part)) if name in known}

    top = Part(raw, "settings")
    limits = top.part("limits")
    return Names(
        classes=places("classes"),
        plans=places("plans"),
        zones={name: place for place, name in enumerate(top.texts("zones"))},
        connect_us=limits.whole("connectTimeoutUs", 0) or 250_000,
        idle_us=limits.whole("connIdleUs", 0) or 15_000_000,
    )


def _names(top: Part, part: str) -> list[str]:
    names: list[str] = []
    for row in top.rows(part):
        name = row.text("name")
        if name in names:
            raise ValueError(f"{row.path}.name: is there twice")
        names.append(name)
    return names
