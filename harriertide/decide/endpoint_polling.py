"""When the endpoint list is asked for: at the start, and after a failed call with backoff."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, PollTimer

# First calls of brokers that start together are spread over so much for each broker of the fleet.
FIRST_POLL_SPREAD_PER_BROKER_US = 12_500
# A wait is drawn between this part of the backoff and all of it, as many brokers are turned away together.
JITTER_RATIO = 0.5
BACKOFF_FACTOR = 2


class EndpointPolling:
    """Polls of the endpoint list, where the settings have brokers ask for it."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._backoff_us = context.derived.poll_first_wait_us

    def reset_backoff(self) -> None:
        """A call has succeeded, or the settings have changed: the next failure begins with the first wait."""
        self._backoff_us = self._context.derived.poll_first_wait_us

    def start(self) -> None:
        """Set the first poll."""
        context = self._context
        if context.settings.polls_endpoint_list:
            spread_us = FIRST_POLL_SPREAD_PER_BROKER_US * context.settings.broker_count
            delay_us = int(context.random.random() * min(spread_us, context.derived.poll_max_wait_us))
            context.timers.schedule(context.now_us + delay_us, PollTimer())

    def on_failure(self) -> None:
        """A call has failed: set the next one, twice as late each time."""
        context = self._context
        if not context.settings.polls_endpoint_list:
            return
        jitter = JITTER_RATIO + (1 - JITTER_RATIO) * context.random.random()
        context.timers.schedule(context.now_us + int(self._backoff_us * jitter), PollTimer())
        self._backoff_us = min(context.derived.poll_max_wait_us, BACKOFF_FACTOR * self._backoff_us)

    def poll(self) -> None:
        """The time has come."""
        self._context.emit(api.WatchEndpoints())
