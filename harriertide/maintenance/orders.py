"""An operator's order: its machines, work, duration, deadline, prerequisites and concurrency.

The fields of an order have the names of the keys in the order file; refusals refer to these keys.
"""

from __future__ import annotations

from typing import Any, Literal, get_args

from msgspec import Struct

from harriertide.decide.settings import SettingsError

MachineKind = Literal["box", "broker"]  # "box" is a storage node; the value is stored and sent
Work = Literal["restart", "keep", "replace"]
LABEL_KEYS = ("zone", "rack", "release")
HOUR_S = 3600.0
MIN_WORK_S = 0.1  # the planner's rounds are at least this far apart
MAX_WORK_S = 7 * 24 * HOUR_S  # for longer work, remove the machine from the file
MAX_UNIX_S = 1e11  # rejects numbers that cannot be a date
MAX_AT_ONCE_COUNT = 1000
MAX_SPARE_COUNT = 3  # seven voters are the maximum, and four are a majority
MAX_NAME_LENGTH = 64


class OrderError(SettingsError):
    """An order is invalid. The message is one line that names the key."""


class Machine(Struct, frozen=True):
    """A storage node or a broker that orders may name.

    group: two machines of one group are never out of service together. units: the configured rate of a node
    in units per second; 0 to use the rate that brokers learned. voter: whether a broker has a vote.
    """

    name: str
    kind: MachineKind
    zone: str = ""
    rack: str = ""
    release: str = ""
    group: str = ""
    units: float = 0.0
    voter: bool = False

    @property
    def is_broker(self) -> bool:
        """Whether the machine is a broker; any other machine is a node."""
        return self.kind == "broker"

    def get_label(self, key: str) -> str:
        """Return the value of a label.

        :param key: one of LABEL_KEYS
        """
        return {"zone": self.zone, "rack": self.rack, "release": self.release}[key]


class Order(Struct, frozen=True):
    """A validated order, with the names of its machines.

    takes_s: duration of the work on one machine. until_s: deadline of all work in Unix seconds; 0 for none.
    after: orders that must finish first. at_once: how many machines may be out of service at the same time.
    spare: how many voters beyond a majority must stay in service. first: machines that are near failure and
    are taken out first.
    """

    id: str
    machines: tuple[str, ...]
    work: Work
    takes_s: float
    until_s: float = 0.0
    after: tuple[str, ...] = ()
    at_once: int = 1
    spare: int = 1
    first: tuple[str, ...] = ()


_ORDER_KEYS = frozenset(Order.__struct_fields__) - {"id"} | {"order", *LABEL_KEYS}


def parse_order(raw: dict[str, Any], machines: dict[str, Machine], now_s: float) -> Order:
    """Validate an order file against the inventory.

    :param raw: the parsed file
    :param machines: the replicated inventory, by name
    :param now_s: current time in Unix seconds
    :raises OrderError: the order is invalid; the message names the key
    """
    for key in raw:
        if key not in _ORDER_KEYS:
            raise OrderError(f"{key}: unknown key")
    order_id = _parse_order_id(raw)
    machine_names = _parse_machines(raw, machines)
    work: Any = raw.get("work")
    if work not in get_args(Work):
        raise OrderError(f"work: must be one of {', '.join(get_args(Work))}")
    first = _parse_names(raw, "first")
    for machine in first:
        if machine not in machine_names:
            raise OrderError(f"first: {machine} is not one of the order's machines")
    order = Order(
        id=order_id,
        machines=machine_names,
        work=work,
        takes_s=_parse_number(raw, "takes_s", MIN_WORK_S, MAX_WORK_S, None),
        until_s=_parse_number(raw, "until_s", 0, MAX_UNIX_S, 0.0),
        after=_parse_names(raw, "after"),
        at_once=int(_parse_number(raw, "at_once", 1, MAX_AT_ONCE_COUNT, 1)),
        spare=int(_parse_number(raw, "spare", 0, MAX_SPARE_COUNT, 1)),
        first=first,
    )
    shortest_s = minimum_duration_s(order, machines)
    if order.until_s and order.until_s < now_s + shortest_s:
        raise OrderError(f"until_s: the work needs {shortest_s:.0f} s at the least")
    return order


def _parse_order_id(raw: dict[str, Any]) -> str:
    order_id = raw.get("order")
    if not isinstance(order_id, str) or not 0 < len(order_id) <= MAX_NAME_LENGTH:
        raise OrderError("order: must be a name of letters, digits and dashes")
    if not order_id.replace("-", "").isalnum():
        raise OrderError("order: must be a name of letters, digits and dashes")
    return order_id


def _parse_machines(raw: dict[str, Any], machines: dict[str, Machine]) -> tuple[str, ...]:
    """Return the listed machines, then those that match a label, sorted by name."""
    machine_names = list(_parse_names(raw, "machines"))
    for label in LABEL_KEYS:
        if label in raw:
            matching_names = [
                machine.name for machine in machines.values() if machine.get_label(label) == raw[label]
            ]
            if not matching_names:
                raise OrderError(f"{label}: no machine has {raw[label]}")
            machine_names += [name for name in sorted(matching_names) if name not in machine_names]
    if not machine_names:
        raise OrderError("machines: names none, and no label does")
    for name in machine_names:
        if name not in machines:
            raise OrderError(f"machines: there is no {name}")
    return tuple(machine_names)


def _parse_number(
    raw: dict[str, Any], key: str, minimum: float, maximum: float, default: float | None
) -> float:
    if key not in raw and default is not None:
        return default
    if key not in raw:
        raise OrderError(f"{key}: is missing")
    value = raw[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
        raise OrderError(f"{key}: must be a number from {minimum:g} to {maximum:g}")
    return float(value)


def _parse_names(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    value = raw.get(key, [])
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise OrderError(f"{key}: must be a list of names")
    if len(set(value)) != len(value):
        raise OrderError(f"{key}: names {next(name for name in value if value.count(name) > 1)} twice")
    return tuple(value)


def minimum_duration_s(order: Order, machines: dict[str, Machine]) -> float:
    """Return the shortest duration of an order: the rounds that at_once and groups require, in sequence."""
    group_sizes: dict[str, int] = {}
    for name in order.machines:
        group = machines[name].group
        if group:
            group_sizes[group] = group_sizes.get(group, 0) + 1
    concurrent_rounds = -(-len(order.machines) // order.at_once)
    return max([concurrent_rounds, *group_sizes.values()]) * order.takes_s


def find_cycle(order: Order, others: dict[str, Order]) -> list[str]:
    """Return a cycle of `after` that this order would close, or an empty list.

    :param others: the existing orders, by ID
    """
    paths = [(name, [order.id, name]) for name in order.after]
    while paths:
        name, path = paths.pop()
        if name == order.id:
            return path
        if name in others:
            paths += [
                (prerequisite, [*path, prerequisite])
                for prerequisite in others[name].after
                if prerequisite not in path[1:]
            ]
    return []
