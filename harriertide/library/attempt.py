"""One attempt of a request, as the application performs it."""

from __future__ import annotations

from harriertide.engine import runtime as engine
from harriertide.library.errors import NotWrittenError


class Attempt:
    """One attempt of a request.

    node_id: where it goes; address: host and port of the node, if they are known; number: 0 for the first;
    deadline_s: the moment of the event loop's clock at which it ends; has_response_started: whether its
    response is on its way to the client. engine_attempt is for the library's own use.
    """

    __slots__ = ("node_id", "address", "number", "deadline_s", "has_response_started", "engine_attempt")

    def __init__(self, attempt: engine.Attempt, address: str | None) -> None:
        self.engine_attempt = attempt
        self.node_id = attempt.node_id
        self.number = attempt.number
        self.address = address
        self.deadline_s = attempt.runtime.clock.loop_time(attempt.stop_at_us)
        self.has_response_started = False

    def check_write(self) -> None:
        """Ask the core right before the first byte goes to the node; `broker.nodes` does so itself.

        :raises NotWrittenError: the attempt must not be written
        """
        outcome = self.engine_attempt.may_write()
        if outcome is not None:
            raise NotWrittenError(outcome)

    def response_started(self) -> None:
        """Report that the response is on its way to the client: no other attempt follows."""
        if not self.has_response_started:
            self.has_response_started = True
            self.engine_attempt.runtime.response_started(self.engine_attempt)
