"""The stored form of a recorded workload: JSON Lines with stable field names and values.

The names on disk are those of the first format version. Only this module maps them to the names in the code,
so every release can read the recordings of all earlier releases.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal, TypeVar

import msgspec
from msgspec import Struct

from harriertide.decide import api

T = TypeVar("T")

_IDEMPOTENCY_ON_DISK = {"idempotent": "safe", "keyed": "keyed", "non_idempotent": "unsafe"}
_SCOPE_ON_DISK = {"all": "all", "zone": "zone", "shard": "cell"}
_UPDATE_KIND_ON_DISK = {"delta": "changes", "full": "whole", "cached": "held", "failed": "failed"}


def _invert(names: Mapping[str, str]) -> dict[str, str]:
    return {on_disk: in_code for in_code, on_disk in names.items()}


_IDEMPOTENCY_IN_CODE = _invert(_IDEMPOTENCY_ON_DISK)
_SCOPE_IN_CODE = _invert(_SCOPE_ON_DISK)
_UPDATE_KIND_IN_CODE = _invert(_UPDATE_KIND_ON_DISK)


class RequestClassRecord(
    Struct,
    rename={
        "latency_objective_us": "aim_us",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "idempotency": "effect",
        "deduplication_scope": "group",
        "deduplication_window_us": "window_us",
    },
):
    """The stored form of `harriertide.decide.api.RequestClass`."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Literal["safe", "keyed", "unsafe"] = "safe"
    deduplication_scope: Literal["all", "zone", "cell"] = "all"
    deduplication_window_us: int = 0
    in_order: bool = False


class PlanRecord(
    Struct,
    rename={
        "reserved_rate": "reserve",
        "priority_factor": "price",
        "rate_limit": "limit",
        "burst_limit_units": "limit_burst",
    },
):
    """The stored form of `harriertide.decide.api.Plan`."""

    reserved_rate: float = 0.0
    weight: float = 1.0
    priority_factor: float = 1.0
    rate_limit: float = 0.0
    burst_limit_units: float = 0.0


class SettingsRecord(
    Struct,
    rename={
        "broker_index": "head",
        "broker_count": "heads",
        "shard_count": "shards",
        "mean_request_units": "mean_units",
        "max_request_units": "most_units",
        "within_quota_weight": "share_worth",
        "beyond_quota_weight": "spare_worth",
        "slow_start_units": "cold_units",
        "slow_start_initial_ratio": "cold_from",
        "slow_start_us": "cold_us",
        "collapse_window_us": "fall_us",
        "collapse_load_ratio": "fall_multiple",
        "polls_endpoint_list": "ask_for_list",
        "poll_interval_us": "ask_within_us",
        "peer_messages_allowed": "may_tell",
        "retry_after_allowed": "may_say_when",
        "cancel_allowed": "may_cancel",
        "probes_allowed": "may_probe",
        "key_quiet_us": "key_rest_us",
        "retry_budget_floor": "extra_floor",
        "retry_budget_ratio": "extra_share",
        "retry_budget_window_us": "extra_span_us",
    },
):
    """The stored form of `harriertide.decide.api.Settings`."""

    broker_index: int
    broker_count: int
    classes: tuple[RequestClassRecord, ...]
    plans: tuple[PlanRecord, ...]
    shard_count: int
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    within_quota_weight: float = 1.0
    beyond_quota_weight: float = 0.0
    slow_start_units: float = 0.0
    slow_start_initial_ratio: float = 1.0
    slow_start_us: int = 0
    collapse_window_us: int = 0
    collapse_load_ratio: float = 1.0
    polls_endpoint_list: bool = False
    poll_interval_us: int = 10_000_000
    peer_messages_allowed: bool = False
    retry_after_allowed: bool = False
    cancel_allowed: bool = False
    max_retry_after_us: int = 0
    max_attempts: int = 1
    probes_allowed: bool = False
    tick_us: int = 1_000
    key_quiet_us: int = 0
    retry_budget_floor: float | None = None
    retry_budget_ratio: float = 0.0
    retry_budget_window_us: int = 0


class NodeEntryRecord(Struct, rename={"node_id": "node"}):
    """The stored form of `harriertide.decide.api.NodeEntry`."""

    node_id: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


class EndpointUpdateRecord(Struct, rename={"entries": "nodes"}):
    """The stored form of `harriertide.decide.api.EndpointUpdate`."""

    kind: Literal["changes", "whole", "held", "failed"]
    entries: tuple[NodeEntryRecord, ...] = ()


class ArrivalRecord(
    Struct,
    rename={
        "request_id": "request",
        "deadline_at_us": "give_up_us",
        "sharing_broker_count": "hosts",
        "is_retry": "repeated",
    },
):
    """The stored form of `harriertide.decide.api.Arrival`."""

    request_id: str
    request_class: int
    plan: int
    volume: str
    shard: int
    deadline_at_us: int
    units: float = 1.0
    key: str = ""
    sharing_broker_count: int = 1
    is_retry: bool = False


class HeaderRecord(Struct, rename={"version": "v"}, forbid_unknown_fields=True):
    """The first line of a recording."""

    version: int
    settings: SettingsRecord
    seed: int


class EventRecord(
    Struct,
    rename={"at_us": "at", "endpoint_update": "news"},
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """An event line: an arrival or an endpoint update. Times are microseconds since the header."""

    at_us: int
    arrival: ArrivalRecord | None = None
    endpoint_update: EndpointUpdateRecord | None = None


def _convert_fields(source: object, target: type[T], **converted: Any) -> T:
    """Create a `target` from the fields of `source` with the same names; `converted` overrides fields."""
    names = target.__struct_fields__ if issubclass(target, Struct) else target.__slots__  # type: ignore[attr-defined]
    copied = {name: getattr(source, name) for name in names if name not in converted}
    return target(**copied, **converted)


def store_settings(settings: api.Settings) -> SettingsRecord:
    """Convert the settings of a broker to their stored form."""
    classes = tuple(
        _convert_fields(
            request_class,
            RequestClassRecord,
            idempotency=_IDEMPOTENCY_ON_DISK[request_class.idempotency],
            deduplication_scope=_SCOPE_ON_DISK[request_class.deduplication_scope],
        )
        for request_class in settings.classes
    )
    plans = tuple(_convert_fields(plan, PlanRecord) for plan in settings.plans)
    return _convert_fields(settings, SettingsRecord, classes=classes, plans=plans)


def load_settings(record: SettingsRecord) -> api.Settings:
    """Convert stored settings to the settings of a broker.

    :raises ValueError: a value is out of range; the message names the field
    """
    classes = tuple(
        _convert_fields(
            request_class,
            api.RequestClass,
            idempotency=_IDEMPOTENCY_IN_CODE[request_class.idempotency],
            deduplication_scope=_SCOPE_IN_CODE[request_class.deduplication_scope],
        )
        for request_class in record.classes
    )
    plans = tuple(_convert_fields(plan, api.Plan) for plan in record.plans)
    return _convert_fields(
        record,
        api.Settings,
        classes=classes,
        plans=plans,
        # a state and a limit of the recorded process, which are not recorded
        admits_ordered_requests=True,
        max_retained_volumes=api.DEFAULT_MAX_RETAINED_VOLUMES,
    )


def store_arrival(arrival: api.Arrival) -> ArrivalRecord:
    """Convert an arrival to its stored form."""
    return _convert_fields(arrival, ArrivalRecord)


def load_arrival(record: ArrivalRecord) -> api.Arrival:
    """Convert a stored arrival."""
    return _convert_fields(record, api.Arrival, streams_body=False)  # not recorded


def store_node_entry(entry: api.NodeEntry) -> NodeEntryRecord:
    """Convert a node of the endpoint list to its stored form."""
    return _convert_fields(entry, NodeEntryRecord)


def load_node_entry(record: NodeEntryRecord) -> api.NodeEntry:
    """Convert a stored node of the endpoint list."""
    return _convert_fields(record, api.NodeEntry)


def store_endpoint_update(update: api.EndpointUpdate) -> EndpointUpdateRecord:
    """Convert an endpoint update to its stored form."""
    entries = tuple(map(store_node_entry, update.entries))
    return EndpointUpdateRecord(_UPDATE_KIND_ON_DISK[update.kind], entries)  # type: ignore[arg-type]


def load_endpoint_update(record: EndpointUpdateRecord) -> api.EndpointUpdate:
    """Convert a stored endpoint update."""
    entries = tuple(map(load_node_entry, record.entries))
    return api.EndpointUpdate(_UPDATE_KIND_IN_CODE[record.kind], entries)  # type: ignore[arg-type]


encode = msgspec.json.Encoder().encode
decode_header = msgspec.json.Decoder(HeaderRecord).decode
decode_event = msgspec.json.Decoder(EventRecord).decode
