"""harriertide: decides which reads and writes go to which storage node, and when."""

from harriertide.api import Settings
from harriertide.rules import Scheduler

__all__ = ["Scheduler", "Settings"]
__version__ = "0.1.0"
