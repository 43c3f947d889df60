"""harriertide: decides which reads and writes go to which storage node, and when."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harriertide.decide import api
    from harriertide.decide.api import Settings
    from harriertide.decide.scheduler import Scheduler
    from harriertide.library import Broker, FailedError, RejectedError, RequestSpec

__all__ = ["RequestSpec", "Broker", "FailedError", "RejectedError", "Scheduler", "Settings", "api"]
__version__ = "0.1.0"

_MODULES = {
    "RequestSpec": "harriertide.library",
    "Broker": "harriertide.library",
    "FailedError": "harriertide.library",
    "RejectedError": "harriertide.library",
    "Scheduler": "harriertide.decide.scheduler",
    "Settings": "harriertide.decide.api",
}


def __getattr__(name: str) -> Any:
    """Public names, loaded when they are asked for: a process that starts handles its signals first."""
    if name == "api":
        return import_module("harriertide.decide.api")
    if name in _MODULES:
        return getattr(import_module(_MODULES[name]), name)
    raise AttributeError(f"module 'harriertide' has no attribute {name!r}")
