"""An operator's order: which machines, what work, how long, until when, what first, how many at once."""

from __future__ import annotations

from typing import Any, Literal, get_args

from msgspec import Struct

from harriertide.decide.settings import SettingsError

Work = Literal["restart", "keep", "replace"]
LABELS = ("zone", "rack", "release")
HOUR_S = 3600.0


class OrderError(SettingsError):
    """What can't be used of an order, in one plain line that names the key."""


class Machine(Struct, frozen=True):
    """A box or a broker that orders may name. group: of one group never two are out. units: what it does a
    second, where the operator states it; 0: as learned."""

    name: str
    kind: Literal["box", "broker"]
    zone: str = ""
    rack: str = ""
    release: str = ""
    group: str = ""
    units: float = 0.0
    voter: bool = False

    def label(self, key: str) -> str:
        """The value of one of LABELS."""
        return {"zone": self.zone, "rack": self.rack, "release": self.release}[key]


class Order(Struct, frozen=True):
    """Checked, with its machines by name. takes_s: one machine's work; until_s: Unix seconds, 0 for no
    end."""

    id: str
    machines: tuple[str, ...]
    work: Work
    takes_s: float
    until_s: float = 0.0
    after: tuple[str, ...] = ()
    at_once: int = 1
    spare: int = 1
    first: tuple[str, ...] = ()  # machines near failing


_KEYS = frozenset(Order.__struct_fields__) - {"id"} | {"order", *LABELS}


def _number(raw: dict[str, Any], key: str, least: float, most: float, default: float | None) -> float:
    if key not in raw and default is not None:
        return default
    if key not in raw:
        raise OrderError(f"{key}: is missing")
    value = raw[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
        raise OrderError(f"{key}: must be a number from {least:g} to {most:g}")
    return float(value)


def _names(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    value = raw.get(key, [])
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise OrderError(f"{key}: must be a list of names")
    if len(set(value)) != len(value):
        raise OrderError(f"{key}: names {next(n for n in value if value.count(n) > 1)} twice")
    return tuple(value)


def read_order(raw: dict[str, Any], machines: dict[str, Machine], now_s: float) -> Order:
    """An order file as parsed, against the machines that there are; OrderError names what is off."""
    for key in raw:
        if key not in _KEYS:
            raise OrderError(f"{key}: unknown key")
    name = raw.get("order")
    if not isinstance(name, str) or not name or len(name) > 64 or not name.replace("-", "").isalnum():
        raise OrderError("order: must be a name of letters, digits and dashes")
    named = list(_names(raw, "machines"))
    for label in LABELS:
        if label in raw:
            found = [m.name for m in machines.values() if m.label(label) == raw[label]]
            if not found:
                raise OrderError(f"{label}: no machine has {raw[label]}")
            named += [m for m in sorted(found) if m not in named]
    if not named:
        raise OrderError("machines: names none, and no label does")
    for machine in named:
        if machine not in machines:
            raise OrderError(f"machines: there is no {machine}")
    work: Any = raw.get("work")
    if work not in get_args(Work):
        raise OrderError(f"work: must be one of {', '.join(get_args(Work))}")
    first = _names(raw, "first")
    for machine in first:
        if machine not in named:
            raise OrderError(f"first: {machine} is not one of the order's machines")
    takes_s = _number(raw, "takes_s", 0.1, 7 * 24 * HOUR_S, None)
    until_s = _number(raw, "until_s", 0, 1e11, 0.0)
    order = Order(
        name, tuple(named), work, takes_s, until_s, _names(raw, "after"),
        int(_number(raw, "at_once", 1, 1000, 1)), int(_number(raw, "spare", 0, 3, 1)), first,
    )  # fmt: skip
    if until_s and until_s < now_s + least_s(order, machines):
        raise OrderError(f"until_s: the work needs {least_s(order, machines):.0f} s at the least")
    return order


def least_s(order: Order, machines: dict[str, Machine]) -> float:
    """The least time that an order can take: its machines in as many turns as at_once and groups allow."""
    groups: dict[str, int] = {}
    for name in order.machines:
        group = machines[name].group
        if group:
            groups[group] = groups.get(group, 0) + 1
    turns = max([-(-len(order.machines) // order.at_once), *groups.values()])
    return turns * order.takes_s


def cycle(order: Order, others: dict[str, Order]) -> list[str]:
    """A ring of `after` that this order closes, or nothing."""
    todo = [(name, [order.id, name]) for name in order.after]
    while todo:
        name, way = todo.pop()
        if name == order.id:
            return way
        if name in others:
            todo += [(further, [*way, further]) for further in others[name].after if further not in way[1:]]
    return []
