"""One simulated cluster: hosts, network, clients, faults and checker on one event queue and one generator."""

from __future__ import annotations

from random import Random

from harriertide.consensus.node import RaftNode
from harriertide.lab.checkers.linearizability_checker import non_linearizable
from harriertide.lab.raft_simulation.client_workload import ClientWorkload
from harriertide.lab.raft_simulation.event_queue import DriftingClock, EventQueue
from harriertide.lab.raft_simulation.faults import FaultInjector
from harriertide.lab.raft_simulation.host import Environment, Host
from harriertide.lab.raft_simulation.safety_checker import SafetyChecker
from harriertide.lab.raft_simulation.simulated_network import SimulatedNetwork
from harriertide.lab.raft_simulation.verdict import Verdict

MIN_CLOCK_RATE, MAX_CLOCK_RATE = 0.99, 1.01
MAX_CLOCK_OFFSET_US = 10**9
SNAPSHOT_INTERVAL = 40  # entries: a run of seconds takes several snapshots


class Simulation:
    """A cluster whose hosts are all down at first.

    :param seed: of all that is drawn; the order of the draws is part of what a seed means
    :param size: how many hosts
    :param node_class: a member with a seeded bug
    :param seeded_bug: its name, for those that are bugs of a disk
    """

    def __init__(
        self,
        seed: int,
        size: int = 5,
        node_class: type[RaftNode] = RaftNode,
        seeded_bug: str = "",
        snapshot_interval: int = SNAPSHOT_INTERVAL,
    ) -> None:
        self.random = Random(seed)
        self.queue = EventQueue()
        self.network = SimulatedNetwork(self.queue, self.random)
        self.checker = SafetyChecker()
        self.hosts: dict[str, Host] = {}
        self.clients = ClientWorkload(self.queue, self.random, self.hosts)
        self.faults = FaultInjector(self.queue, self.random, self.network, self.hosts)
        environment = Environment(
            self.queue, self.network, self.random, self.checker, self.clients.on_client_effect,
            snapshot_interval, node_class, seeded_bug, self.hosts,
        )  # fmt: skip
        for index in range(size):
            rate = self.random.uniform(MIN_CLOCK_RATE, MAX_CLOCK_RATE)
            clock = DriftingClock(self.queue, rate, self.random.randrange(MAX_CLOCK_OFFSET_US))
            name = chr(ord("a") + index)
            self.hosts[name] = Host(name, environment, clock)

    @property
    def now_us(self) -> int:
        """The time of the simulation."""
        return self.queue.now_us

    def run_for(self, duration_us: int) -> None:
        """Run for a while."""
        self.queue.run_until(self.now_us + duration_us)

    def leader(self) -> Host | None:
        """Return a leader that exchanges messages with a majority of the hosts, if there is one."""
        for host in self.hosts.values():
            is_leader = host.replica is not None and host.replica.node.is_leader and not host.is_paused
            if is_leader and self._reachable_count(host) > len(self.hosts) // 2:
                return host
        return None

    def _reachable_count(self, host: Host) -> int:
        """How many hosts run a process that this one exchanges messages with, itself included."""
        return sum(
            other is host or (other.replica is not None and self.network.can_exchange(host.name, other.name))
            for other in self.hosts.values()
        )

    def verdict(self) -> Verdict:
        """Return what the run has shown so far."""
        histories = [
            f"register {key}: its history is not linearizable"
            for key in non_linearizable(self.clients.history)
        ]
        return Verdict(
            self.checker.violations + histories,
            self.clients.drawn_operation_count,
            self.clients.answered_count,
            self.checker.election_count,
            self.faults.injected,
        )
