"""harriertide: decides which reads and writes go to which storage node, and when."""

from harriertide.decide import api
from harriertide.decide.api import Settings
from harriertide.decide.rules import Scheduler

__all__ = ["Scheduler", "Settings", "api"]
__version__ = "0.1.0"
