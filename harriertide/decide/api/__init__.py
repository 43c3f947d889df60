"""The interface of the decision module: settings, events that go in, actions that come out.

Times are whole microseconds of one clock that only advances; a field `..._at_us` is a point in time, `..._us`
a duration. Units are what requests cost, as the deployment counts them. Volumes, keys, nodes and requests are
opaque strings; shards, brokers, classes and plans are numbers from 0. Nothing here decides anything.
"""

from harriertide.decide.api.actions import (
    Action,
    CancelAttempt,
    Fail,
    GiveUpReason,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartProbe,
    WatchEndpoints,
)
from harriertide.decide.api.events import (
    NOT_EXECUTED_OUTCOMES,
    UNRESPONSIVE_OUTCOMES,
    Arrival,
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
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
    "EndpointUpdate",
    "Event",
    "Fail",
    "GiveUpReason",
    "Idempotency",
    "LogLine",
    "NOT_EXECUTED_OUTCOMES",
    "NodeEntry",
    "OutcomeKind",
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
    "StartAttempt",
    "StartProbe",
    "TimerFired",
    "UNRESPONSIVE_OUTCOMES",
    "WatchEndpoints",
]
