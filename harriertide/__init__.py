"""harriertide: decides which reads and writes go to which storage node, and when."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from harriertide.decide import api
from harriertide.decide.api import Settings
from harriertide.decide.scheduler import Scheduler

if TYPE_CHECKING:
    from harriertide.library import Broker, FailedError, RejectedError, RequestSpec

__all__ = ["RequestSpec", "Broker", "FailedError", "RejectedError", "Scheduler", "Settings", "api"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """The library's face, loaded when it is asked for: the platform's broker does without it."""
    if name in ("RequestSpec", "Broker", "FailedError", "RejectedError"):
        return getattr(import_module("harriertide.library"), name)
    raise AttributeError(f"module 'harriertide' has no attribute {name!r}")
