"""flintrack: decides which reads and writes go to which storage node, and when."""

from flintrack.api import Settings
from flintrack.rules import Scheduler

__all__ = ["Scheduler", "Settings"]
__version__ = "0.1.0"
