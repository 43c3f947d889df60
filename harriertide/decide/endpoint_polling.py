"""Polling of the endpoint list: at the start, and with backoff after a failed call."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, PollTimer

# The first polls of brokers that start together are spread over this time for each broker of the fleet.
FIRST_POLL_SPREAD_PER_BROKER_US = 12_500
# Each wait is drawn between this part of the backoff and the full backoff, as the calls of many brokers fail
# at the same time.
JITTER_RATIO = 0.5
BACKOFF_FACTOR = 2


class EndpointPolling:
    """Polls the endpoint list if the settings tell brokers to do so."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._backoff_us = context.derived.poll_first_wait_us

    def reset_backoff(self) -> None:
        """Reset the backoff after a successful call or a change of settings."""
        self._backoff_us = self._context.derived.poll_first_wait_us

    def start(self) -> None:
        """Schedule the first poll, after a random delay."""
        context = self._context
        if context.settings.polls_endpoint_list:
            spread_us = FIRST_POLL_SPREAD_PER_BROKER_US * context.settings.broker_count
            delay_us = int(context.random.random() * min(spread_us, context.derived.poll_max_wait_us))
            context.timers.schedule(context.now_us + delay_us, PollTimer())

    def on_failure(self) -> None:
        """Schedule the next poll after a failed call, with exponential backoff and jitter."""
        context = self._context
        if not context.settings.polls_endpoint_list:
            return
        jitter = JITTER_RATIO + (1 - JITTER_RATIO) * context.random.random()
        context.timers.schedule(context.now_us + int(self._backoff_us * jitter), PollTimer())
        self._backoff_us = min(context.derived.poll_max_wait_us, BACKOFF_FACTOR * self._backoff_us)

    def poll(self) -> None:
        """Request the endpoint list."""
        self._context.emit(api.WatchEndpoints())
