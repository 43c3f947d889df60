"""What an application says of a request, and how that becomes an arrival of the core."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.decide import api


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What the decisions need to know of a request.

    volume: whose quota it takes; shard: the shard that has the data, -1 for a new object; units: its size;
    request_class, plan: by index, or by name where the broker knows names; plan None: that of the volume;
    deadline_s: the moment of the event loop's clock until which the caller waits, None for the deadline of
    the class from now; sharing_broker_count: how many brokers the requests of the volume come through, 0 for
    all that share; request_id: drawn where none is given.
    """

    volume: str
    shard: int = -1
    units: float = 1.0
    request_class: int | str = 0
    plan: int | str | None = None
    key: str = ""
    deadline_s: float | None = None
    sharing_broker_count: int = 0
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class NameTable:
    """Indexes of classes and of plans, and the plan index of each volume, by name."""

    classes: dict[str, int]
    plans: dict[str, int]
    volume_plans: dict[str, int]


NO_NAMES = NameTable({}, {}, {})


def build_arrival(
    spec: RequestSpec,
    request_id: str,
    broker_count: int,
    names: NameTable,
    settings: api.Settings,
    now_us: int,
    deadline_at_us: int | None,
) -> api.Arrival:
    """A request as the core takes it.

    :param broker_count: how many brokers share, where the spec does not say
    :param deadline_at_us: until when the caller waits; None: as long as the class allows
    :raises ValueError: the spec has a value that cannot be used; the message names the field
    """
    request_class = _class_index(spec, names, settings)
    plan = _plan_index(spec, names, settings)
    if not 0 < spec.units <= settings.max_request_units:
        raise ValueError(f"units: must be above 0 and up to {settings.max_request_units:g}")
    class_deadline_at_us = now_us + settings.classes[request_class].deadline_us
    if deadline_at_us is None or deadline_at_us > class_deadline_at_us:
        deadline_at_us = class_deadline_at_us
    return api.Arrival(
        request_id=request_id,
        request_class=request_class,
        plan=plan,
        volume=spec.volume,
        shard=spec.shard,
        deadline_at_us=deadline_at_us,
        units=spec.units,
        key=spec.key,
        sharing_broker_count=spec.sharing_broker_count or broker_count,
    )


def _class_index(spec: RequestSpec, names: NameTable, settings: api.Settings) -> int:
    index = spec.request_class
    if isinstance(index, str):
        if index not in names.classes:
            raise ValueError(f"request_class: there is no class {index}")
        index = names.classes[index]
    if not 0 <= index < len(settings.classes):
        raise ValueError(f"request_class: there is no class {index}")
    return index


def _plan_index(spec: RequestSpec, names: NameTable, settings: api.Settings) -> int:
    index = spec.plan
    if index is None:
        index = names.volume_plans.get(spec.volume, 0)
    elif isinstance(index, str):
        if index not in names.plans:
            raise ValueError(f"plan: there is no plan {index}")
        index = names.plans[index]
    if not 0 <= index < len(settings.plans):
        raise ValueError(f"plan: there is no plan {index}")
    return index
