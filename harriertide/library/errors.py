"""What goes wrong, and whose fault it is.

- `AttemptError`: one attempt did not succeed. An application's work raises it, or lets it pass; the core may
  attempt the request again. Its kinds say what became of the node (`NodeError` and below) or that nothing was
  written (`NotWrittenError`).
- `RequestError`: the final answer to a request that was not served; the caller of `Broker.call` gets it.
"""

from __future__ import annotations

from harriertide.decide import api


class AttemptError(Exception):
    """An attempt did not succeed; outcome is what the core learns of it."""

    outcome: api.OutcomeKind = "error"


class NodeError(AttemptError):
    """The node answered with an error; the attempt may have executed."""

    outcome: api.OutcomeKind = "error"


class NodeResponseError(NodeError):
    """The node's response was malformed, or did not end in time; the attempt may still be running."""

    outcome: api.OutcomeKind = "incomplete"


class NodeOverloadedError(NodeError):
    """The node rejected the attempt; it never executed."""

    outcome: api.OutcomeKind = "rejected"


class NodeUnreachableError(NodeError):
    """There was no connection to the node, or nothing was written; the attempt never executed."""

    outcome: api.OutcomeKind = "connect_failed"


class NodeConnectionLostError(NodeError):
    """The connection to the node broke; the attempt may have executed."""

    outcome: api.OutcomeKind = "reset"


class NodeTimeoutError(NodeError):
    """The node did not respond within the attempt's time; the attempt may have executed."""

    outcome: api.OutcomeKind = "timeout"


class NotWrittenError(AttemptError):
    """The core does not want the attempt written any more, and nothing was.

    The node was drained or barred, it is warming up and its budget is spent, or the client is gone.
    """

    def __init__(self, outcome: api.OutcomeKind) -> None:
        super().__init__(f"not written: {outcome}")
        self.outcome = outcome


NODE_ERRORS: dict[api.OutcomeKind, type[NodeError]] = {
    error.outcome: error
    for error in (
        NodeError,
        NodeResponseError,
        NodeOverloadedError,
        NodeUnreachableError,
        NodeConnectionLostError,
        NodeTimeoutError,
    )
}
"""The kind of error for each outcome that has one."""


class RequestError(Exception):
    """The final answer to a request that was not served."""


class RejectedError(RequestError):
    """The request was not executed, or may be executed again: a retry is harmless.

    retry_after_s: when to retry; 0: no advice.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("refused: trying again is harmless")
        self.retry_after_s = retry_after_s

    @property
    def retry_after(self) -> str:
        """The value of a Retry-After header, for clients that accept decimals."""
        return f"{self.retry_after_s:.3f}"


class FailedError(RequestError):
    """The request failed, and may have executed."""

    def __init__(self, reason: str = "failed") -> None:
        super().__init__(reason)
