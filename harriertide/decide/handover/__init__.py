"""What a broker's decisions know, passed to a newer process of the same broker.

Nothing here decides anything.
"""

from harriertide.decide.handover.export import export_state
from harriertide.decide.handover.records import DecisionRecord
from harriertide.decide.handover.restore import import_state

__all__ = ["DecisionRecord", "export_state", "import_state"]
