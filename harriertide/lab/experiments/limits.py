"""How much of a plan's limit is used, and whether it is kept, by heads that lose messages and die.

Usage: limits [--courses N] [--seconds S] [--lost PART] [--json]

Each course: a volume whose requests come through two or three of 3, 4, 5 and 8 heads, five times its limit,
nine in ten through the busiest head, which changes every 3 s; one head dies for good and one starts anew.
Virtual time.

Options:
  --courses N  of each number of heads [default: 4]
  --seconds S  that a course lasts after the deaths [default: 30]
  --lost PART  of all messages [default: 0.3]
  --json       one object in place of the table
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from random import Random

from docopt import docopt

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler

SECOND = 1_000_000
START_US = 50 * SECOND
PLANS = (api.Plan(rate_limit=20.0, burst_limit_units=24.0, priority_factor=1.0),)
SETTINGS = api.Settings(
    broker_index=0,
    broker_count=1,
    classes=(
        api.RequestClass(
            latency_objective_us=300_000, deadline_us=2 * SECOND, priority_weight=2, late_priority_weight=0.2
        ),
    ),
    plans=PLANS,
    shard_count=1,
    mean_request_units=2,
    max_request_units=6,
    peer_messages_allowed=True,
    max_attempts=3,
)


@dataclass
class Fleet:
    """Heads that tell each other late, with losses and doubles, and one shard that answers at once.

    A volume's requests come through `hosts` of them, nearly all through the busiest; the store of its limit
    is kept here beside them, as the rule words it.
    """

    heads: int
    hosts: list[int]
    seed: int
    lost: float = 0.3
    now: int = START_US
    level: float = PLANS[0].burst_limit_units
    lowest: float = PLANS[0].burst_limit_units
    sent: float = 0.0
    asked: float = 0.0
    fleet: list[Scheduler | None] = field(default_factory=list)
    cut: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.due: list[list[tuple[int, int, api.Event]]] = [[] for _ in range(self.heads)]
        self.made = 0
        self.fleet, self.by_head = [None] * self.heads, [0.0] * self.heads
        for i in range(self.heads):
            self.start(i)

    def start(self, i: int) -> None:
        self.made += 1
        self.fleet[i] = Scheduler(
            replace(SETTINGS, broker_index=i, broker_count=self.heads), self.seed * 1000 + self.made
        )
        self.due[i] = [(self.now, self.made, api.EndpointUpdate("cached", (api.NodeEntry("n0", 0),)))]

    def play(self, for_us: int, busiest: int, rate: float) -> None:
        """Offer `rate` requests of 1 to 3 units a second, nine in ten through the busiest head."""
        end = self.now + for_us
        while self.now < end:
            self.now += 2_000
            self.level = min(PLANS[0].burst_limit_units, self.level + PLANS[0].rate_limit * 0.002)
            if self.random.random() < rate * 0.002:
                host = busiest if self.random.random() < 0.9 else self.random.choice(self.hosts)
                self.made += 1
                units = float(self.random.choice([1, 2, 2, 3]))
                self.asked += units
                if self.fleet[host] is not None:
                    arrival = api.Arrival(
                        f"q{self.made}",
                        0,
                        0,
                        "v",
                        0,
                        self.now + SECOND,
                        units,
                        sharing_broker_count=len(self.hosts),
                    )
                    self.due[host].append((self.now, self.made, arrival))
            for i, one in enumerate(self.fleet):
                events = [event for _, _, event in sorted(d for d in self.due[i] if d[0] <= self.now)]
                if one is not None and (events or self.made % 5 == i % 5):
                    self.due[i] = [d for d in self.due[i] if d[0] > self.now]
                    for action in one.decide(self.now, events):
                        self._do(i, one, action)

    def _do(self, i: int, one: Scheduler, action: api.Action) -> None:
        self.made += 1
        if isinstance(action, api.SendPeerMessage) and not {i, action.recipient_index} & self.cut:
            for _ in range((self.random.random() >= self.lost) + (self.random.random() < 0.05)):
                at = self.now + self.random.randrange(1_400, 35_000)
                self.due[action.recipient_index].append(
                    (at, self.made, api.PeerMessageReceived(i, action.body))
                )
        elif isinstance(action, api.StartAttempt):
            units = one.responses.requests[action.request_id].arrival.units
            self.level -= units
            self.sent += units
            self.by_head[i] += units
            self.lowest = min(self.lowest, self.level)
            end = api.AttemptFinished(action.request_id, 0, "n0", "ok", 10_000, True)
            self.due[i].append((self.now + 10_000, self.made, end))


def allowed(for_us: int) -> float:
    """Units that the limit lets through in this time."""
    return PLANS[0].rate_limit * for_us / SECOND


COURSES = ((3, [0, 1, 2]), (4, [1, 3]), (5, [0, 2, 4]), (8, [5, 6, 7]))


def course(
    heads: int, hosts: list[int], seed: int, seconds: int = 30, lost: float = 0.3
) -> tuple[float, float]:
    """The part of the limit that was used after the deaths, and the lowest that the store ever was."""
    fleet = Fleet(heads, hosts, seed, lost)
    fleet.play(3 * SECOND, hosts[0], 50.0)
    dead = next(i for i in range(heads) if i not in hosts[:2])
    fleet.fleet[dead] = None  # for good
    fleet.play(SECOND, hosts[0], 50.0)
    fleet.start(hosts[1])
    before = fleet.sent
    for turn in range(seconds // 3):
        fleet.play(3 * SECOND, hosts[turn % 2], 50.0)
    return (fleet.sent - before) / allowed(seconds // 3 * 3 * SECOND), fleet.lowest


def main(arguments: list[str]) -> int:
    """Play the courses and print what each used; 1 where the limit was passed."""
    given = docopt(__doc__ or "", arguments)
    rows = []
    for heads, hosts in COURSES:
        for seed in range(1, int(given["--courses"]) + 1):
            used, lowest = course(heads, hosts, seed, int(given["--seconds"]), float(given["--lost"]))
            rows.append({"heads": heads, "seed": seed, "used": round(used, 3), "lowest": round(lowest, 1)})
    if given["--json"]:
        print(json.dumps(rows))
    else:
        for row in rows:
            print("  ".join(f"{name} {value}" for name, value in row.items()))
        parts, least = [row["used"] for row in rows], min(row["lowest"] for row in rows)
        print(f"used {min(parts)} to {max(parts)}, store never under {least}")
    return int(min(row["lowest"] for row in rows) < 0)
