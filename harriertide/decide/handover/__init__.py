"""Hand-over of a broker's decision state to a newer process of the same broker."""

from harriertide.decide.handover.export import export_state
from harriertide.decide.handover.records import DecisionRecord
from harriertide.decide.handover.restore import import_state

__all__ = ["DecisionRecord", "export_state", "import_state"]
