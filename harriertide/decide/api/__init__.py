"""The interface of the decision module: its settings, the events that it receives and the actions it returns.

Times are whole microseconds of one monotonic clock; a field `..._at_us` is a point in time, `..._us` a
duration. The cost of a request is counted in units, which the deployment defines. Volumes, keys, nodes and
requests are opaque strings; shards, brokers, classes and plans are numbered from 0. This package holds data
types only.
"""

from harriertide.decide.api.actions import (
    NO_SILENCE_LIMITS,
    Action,
    CancelAttempt,
    Fail,
    GiveUpReason,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    SilenceLimits,
    StartAttempt,
    StartProbe,
    WatchEndpoints,
)
from harriertide.decide.api.events import (
    EXECUTION_BY_OUTCOME,
    NOT_EXECUTED_OUTCOMES,
    POSSIBLY_RUNNING_OUTCOMES,
    UNRESPONSIVE_OUTCOMES,
    Arrival,
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Execution,
    KeysHeld,
    NodeEntry,
    OutcomeKind,
    PeerMessageReceived,
    ProbeFinished,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)
from harriertide.decide.api.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
)

__all__ = [
    "Action",
    "Arrival",
    "AttemptFinished",
    "CancelAttempt",
    "ClientDisconnected",
    "DeduplicationScope",
    "EXECUTION_BY_OUTCOME",
    "EndpointUpdate",
    "Event",
    "Execution",
    "Fail",
    "GiveUpReason",
    "Idempotency",
    "KeysHeld",
    "LogLine",
    "NOT_EXECUTED_OUTCOMES",
    "NO_SILENCE_LIMITS",
    "NodeEntry",
    "OutcomeKind",
    "POSSIBLY_RUNNING_OUTCOMES",
    "PeerMessageReceived",
    "Plan",
    "ProbeFinished",
    "Reject",
    "RequestClass",
    "ResponseStarted",
    "SendPeerMessage",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "SilenceLimits",
    "StartAttempt",
    "StartProbe",
    "TimerFired",
    "UNRESPONSIVE_OUTCOMES",
    "WatchEndpoints",
]
