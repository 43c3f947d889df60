"""What can be wrong on the operator's side: with the file, with a plan, or with the daemon that is asked."""

from __future__ import annotations

from harriertide.decide.settings import SettingsError


class OperatorFileError(SettingsError):
    """The operator's file, or a state that was made from one, cannot be used; the text names the key."""


class PlanError(SettingsError):
    """A file that `plan` should have written cannot be used, or cannot be written."""


class AdminUnavailableError(SettingsError):
    """The admin address of a daemon gives no answer that can be used."""
