"""Why an attempt brought no response, and whose fault that was."""

from __future__ import annotations

from harriertide.decide import api


class AttemptFailedError(Exception):
    """An attempt ended without a complete response.

    :param outcome: how the decision module counts it
    :param reason: in a few words, for logs
    """

    def __init__(self, outcome: api.OutcomeKind, reason: str) -> None:
        super().__init__(f"{outcome}: {reason}")
        self.outcome = outcome
        self.reason = reason


class AttemptWithheldError(AttemptFailedError):
    """The broker sent nothing, as it could not, or its core no longer allowed it. Not the node's fault."""


class NodeFailureError(AttemptFailedError):
    """The node or the network on the way to it failed: no connection, no response, or a malformed one."""
