"""Brokers that share a plan's limit, in virtual time: the decision module alone, messages late and lost."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler

SECOND_US = 1_000_000
START_US = 50 * SECOND_US
STEP_US = 2_000  # of the simulation
BUSIEST_RATIO = 0.9  # of the requests come through one broker
UNITS = (1, 2, 2, 3)  # of requests, drawn evenly
SHORTEST_DELAY_US, LONGEST_DELAY_US = 1_400, 35_000  # of a message between brokers
DUPLICATE_RATIO = 0.05  # of messages
ATTEMPT_US = 10_000  # until the node answers
IDLE_INTERVAL_STEPS = 5  # a broker without events decides on about one of so many
PLANS = (api.Plan(rate_limit=20.0, burst_limit_units=24.0, priority_factor=1.0),)
SETTINGS = api.Settings(
    broker_index=0,
    broker_count=1,
    classes=(
        api.RequestClass(
            latency_objective_us=300_000,
            deadline_us=2 * SECOND_US,
            priority_weight=2,
            late_priority_weight=0.2,
        ),
    ),
    plans=PLANS,
    shard_count=1,
    mean_request_units=2,
    max_request_units=6,
    peer_messages_allowed=True,
    max_attempts=3,
)


@dataclass(order=True, slots=True)
class _DueEvent:
    at_us: int
    number: int
    event: api.Event = field(compare=False)


class SharedLimitSimulation:
    """Brokers whose messages to each other are late, lost or duplicated, and one node that answers at once.

    A volume's requests come through some of them, nearly all through the busiest. The token bucket of its
    limit is kept here beside them, as the rule words it.

    :ivar cut_off: brokers that are partitioned from all others
    :param brokers: how many
    :param sharing: indexes of those through which the volume's requests come
    :param loss_ratio: of messages between brokers
    """

    def __init__(self, brokers: int, sharing: list[int], seed: int, loss_ratio: float = 0.3) -> None:
        self._sharing = sharing
        self._seed = seed
        self._loss_ratio = loss_ratio
        self._random = Random(seed)
        self._now_us = START_US
        self._count = 0  # of brokers started, requests offered and actions carried out
        self._due: list[list[_DueEvent]] = [[] for _ in range(brokers)]
        self._schedulers: list[Scheduler | None] = [None] * brokers
        self._level = PLANS[0].burst_limit_units
        self.lowest_level = self._level
        self.sent_units = 0.0
        self.sent_by_broker = [0.0] * brokers
        self.cut_off: set[int] = set()
        for broker in range(brokers):
            self.start(broker)

    def start(self, broker: int) -> None:
        """Start a broker, or restart it, with the cached endpoint list."""
        self._count += 1
        settings = replace(SETTINGS, broker_index=broker, broker_count=len(self._schedulers))
        self._schedulers[broker] = Scheduler(settings, self._seed * 1000 + self._count)
        update = api.EndpointUpdate("cached", (api.NodeEntry("n0", 0),))
        self._due[broker] = [_DueEvent(self._now_us, self._count, update)]

    def stop(self, broker: int) -> None:
        """Stop a broker, which is not started again."""
        self._schedulers[broker] = None

    def run(self, duration_us: int, busiest: int, rate: float) -> None:
        """Offer load for a while.

        :param busiest: the broker through which most requests come
        :param rate: requests a second
        """
        end_us = self._now_us + duration_us
        while self._now_us < end_us:
            self._now_us += STEP_US
            refill = PLANS[0].rate_limit * (STEP_US / SECOND_US)
            self._level = min(PLANS[0].burst_limit_units, self._level + refill)
            if self._random.random() < rate * (STEP_US / SECOND_US):
                self._offer(busiest)
            for broker, scheduler in enumerate(self._schedulers):
                if scheduler is not None:
                    self._decide(broker, scheduler)

    def _offer(self, busiest: int) -> None:
        is_busiest = self._random.random() < BUSIEST_RATIO
        broker = busiest if is_busiest else self._random.choice(self._sharing)
        self._count += 1
        units = float(self._random.choice(UNITS))
        if self._schedulers[broker] is None:
            return
        arrival = api.Arrival(
            request_id=f"q{self._count}",
            request_class=0,
            plan=0,
            volume="v",
            shard=0,
            deadline_at_us=self._now_us + SECOND_US,
            units=units,
            sharing_broker_count=len(self._sharing),
        )
        self._due[broker].append(_DueEvent(self._now_us, self._count, arrival))

    def _decide(self, broker: int, scheduler: Scheduler) -> None:
        """Hand a broker the events that are due, and now and then none, for its timers."""
        due = sorted(each for each in self._due[broker] if each.at_us <= self._now_us)
        if not due and self._count % IDLE_INTERVAL_STEPS != broker % IDLE_INTERVAL_STEPS:
            return
        self._due[broker] = [each for each in self._due[broker] if each.at_us > self._now_us]
        for action in scheduler.decide(self._now_us, [each.event for each in due]):
            self._carry_out(broker, scheduler, action)

    def _carry_out(self, broker: int, scheduler: Scheduler, action: api.Action) -> None:
        self._count += 1
        if isinstance(action, api.SendPeerMessage):
            if not {broker, action.recipient_index} & self.cut_off:
                self._send(broker, action)
        elif isinstance(action, api.StartAttempt):
            self._attempt(broker, scheduler, action)

    def _send(self, broker: int, message: api.SendPeerMessage) -> None:
        is_kept = self._random.random() >= self._loss_ratio
        is_duplicated = self._random.random() < DUPLICATE_RATIO
        received = api.PeerMessageReceived(broker, message.body)
        for _ in range(is_kept + is_duplicated):
            at_us = self._now_us + self._random.randrange(SHORTEST_DELAY_US, LONGEST_DELAY_US)
            self._due[message.recipient_index].append(_DueEvent(at_us, self._count, received))

    def _attempt(self, broker: int, scheduler: Scheduler, action: api.StartAttempt) -> None:
        units = scheduler.responses.requests[action.request_id].arrival.units
        self._level -= units
        self.lowest_level = min(self.lowest_level, self._level)
        self.sent_units += units
        self.sent_by_broker[broker] += units
        finished = api.AttemptFinished(action.request_id, 0, "n0", "ok", ATTEMPT_US, True)
        self._due[broker].append(_DueEvent(self._now_us + ATTEMPT_US, self._count, finished))


def allowed_units(duration_us: int) -> float:
    """Return the units that the limit lets through in this time."""
    return PLANS[0].rate_limit * duration_us / SECOND_US
