"""A host of the simulated cluster: its disk, its clock, and the member's process while it runs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from harriertide.consensus import events as ev
from harriertide.consensus import replica as rp
from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello, MembershipReconciler
from harriertide.consensus.messages import Member
from harriertide.consensus.node import NEVER_US, RaftNode
from harriertide.lab.raft_simulation.event_queue import DriftingClock, EventQueue
from harriertide.lab.raft_simulation.register_machine import RegisterMachine
from harriertide.lab.raft_simulation.safety_checker import SafetyChecker
from harriertide.lab.raft_simulation.simulated_disk import SimulatedDisk
from harriertide.lab.raft_simulation.simulated_network import Payload, SimulatedNetwork

ROSTER_INTERVAL_US = 100_000
ClientEffect = rp.CallCompleted | rp.ReadCompleted | rp.RequestExpired


@dataclass(frozen=True, slots=True)
class Environment:
    """What all hosts of a run share.

    :ivar seeded_bug: a key of lab/seeded_bugs.SEEDED_BUGS, for those that are bugs of a disk; "" for none
    :ivar on_client_effect: takes the answer to a call or read, and the host that gives it
    :ivar hosts: by name, in the order of the deploy file
    """

    queue: EventQueue
    network: SimulatedNetwork
    random: Random
    checker: SafetyChecker
    on_client_effect: Callable[[Host, ClientEffect], None]
    snapshot_interval: int
    node_class: type[RaftNode]
    seeded_bug: str
    hosts: dict[str, Host]


class Host:
    """A machine that outlives its process and, where its disk is lost, its disk.

    :ivar replica: of the process that runs; None while none runs
    :ivar paused_until_us: the process stands still up to this time of the simulation
    """

    def __init__(self, name: str, environment: Environment, clock: DriftingClock) -> None:
        self.name = name
        self.clock = clock
        self._environment = environment
        self._queue = environment.queue
        self._disk_count = 0
        self.replace_disk()
        self.replica: rp.Replica | None = None
        self.roster: MembershipReconciler
        self.paused_until_us = 0
        self._incarnation = 0  # of the process
        self._tick_at_us = NEVER_US  # of the host's clock: the earliest tick that is scheduled
        self._founding: BootstrapCluster | None = None
        environment.network.receivers[name] = self.receive

    # --- the machine ----------------------------------------------------------------------------------

    def replace_disk(self) -> None:
        """Give the host an empty disk in place of its own."""
        self._disk_count += 1
        seeded_bug = self._environment.seeded_bug
        identity = 1 if seeded_bug == "empty-disk-votes" else self._disk_count
        self.disk = SimulatedDisk(f"{self.name}{identity}", drops_votes=seeded_bug == "vote-not-synced")

    @property
    def member(self) -> Member:
        """The member that this host is with its present disk."""
        return Member(self.name, self.disk.id)

    @property
    def running_replica(self) -> rp.Replica:
        """The replica of the process, which must run."""
        assert self.replica is not None, f"{self.name} does not run"
        return self.replica

    @property
    def is_paused(self) -> bool:
        """Whether the process stands still."""
        return self._queue.now_us < self.paused_until_us

    def start(self) -> None:
        """Start a process on the disk as it is."""
        environment = self._environment
        self._incarnation += 1
        self.replica = rp.Replica(
            self.member, RegisterMachine(), ev.Tuning(), self.disk.durable,
            Random(environment.random.random()), self.clock.now_us(),
            snapshot_interval=environment.snapshot_interval, node_class=environment.node_class,
        )  # fmt: skip
        self.roster = MembershipReconciler(self.member, tuple(environment.hosts))
        self._tick_at_us = NEVER_US
        self._schedule_tick()
        self._schedule(self._queue.now_us, self._maintain_membership)

    def start_if_down(self) -> None:
        """Start a process where none runs."""
        if self.replica is None:
            self.start()

    def crash(self) -> None:
        """End the process; of the writes that were not synced, a drawn number of the oldest survives."""
        self.replica = None
        self._incarnation += 1
        self.disk.crash(self._environment.random.randint(0, len(self.disk.unsynced)))

    # --- the process ----------------------------------------------------------------------------------

    def step(self, event: ev.Event) -> None:
        """Hand an event to the replica, and carry out what follows."""
        self._perform(self.running_replica.step(self.clock.now_us(), event))

    def call(self, number: int, client: str, serial: int, command: bytes, timeout_us: int) -> None:
        """Have a command committed and applied; the answer goes to on_client_effect."""
        now_us = self.clock.now_us()
        replica = self.running_replica
        self._perform(replica.call(now_us, number, client, serial, command, now_us + timeout_us))

    def query(self, number: int, timeout_us: int) -> None:
        """Find when the state may be read; the answer goes to on_client_effect."""
        now_us = self.clock.now_us()
        self._perform(self.running_replica.query(now_us, number, now_us + timeout_us))

    def read_register(self, key: str) -> str:
        """Return the value of a register as this member has it."""
        machine = self.running_replica.machine
        assert isinstance(machine, RegisterMachine)
        return machine.read(key)

    def receive(self, message: Payload) -> None:
        """Take a message that has arrived; a paused process reads it when it resumes."""
        if self.replica is None:
            return
        if self.is_paused:
            self._queue.call_at(self.paused_until_us + 1, self._receive_late, self._incarnation, message)
        elif isinstance(message, Hello):
            self.roster.on_hello(self.clock.now_us(), message)
        elif isinstance(message, BootstrapCluster):
            if self.roster.accepts_bootstrap(message, self.replica.node):
                self._bootstrap_cluster(message)
        else:
            self.step(ev.MessageReceived(message))

    def _receive_late(self, incarnation: int, message: Payload) -> None:
        if incarnation == self._incarnation:
            self.receive(message)

    def _schedule(self, at_us: int, action: Callable[..., None], *args: Any) -> None:
        """Schedule something that the present process does."""
        self._queue.call_at(at_us, self._run, self._incarnation, action, args)

    def _run(self, incarnation: int, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Act unless that process has ended; a paused one acts when it resumes."""
        if incarnation != self._incarnation:
            return
        if self.is_paused:
            self._queue.call_at(self.paused_until_us, self._run, incarnation, action, args)
        else:
            action(*args)

    def _on_timer(self) -> None:
        self._tick_at_us = NEVER_US
        self.step(ev.Tick())

    def _schedule_tick(self) -> None:
        """Schedule the replica's next tick, unless one is scheduled that comes no later."""
        due_us = self.running_replica.next_tick_us
        if due_us < self._tick_at_us:
            self._tick_at_us = due_us
            self._schedule(self.clock.simulation_time_us(due_us), self._on_timer)

    def _perform(self, effects: Sequence[rp.Effect]) -> None:
        environment = self._environment
        for effect in effects:
            if isinstance(effect, ev.SendMessage):
                environment.network.send(self.name, effect.message.to.name, effect.message)
            elif isinstance(effect, ev.Persist):
                self._start_write(effect)
            elif isinstance(effect, rp.EntryApplied):
                environment.checker.on_entry_applied(self.name, effect)
            elif isinstance(effect, ClientEffect):
                environment.on_client_effect(self, effect)
            elif isinstance(effect, ev.LogLine):
                environment.checker.on_log_line(self.name, effect)
        self._schedule_tick()

    def _start_write(self, write: ev.Persist) -> None:
        self.disk.write(write)
        took_us = int(self.disk.sync_us * self._environment.random.uniform(0.5, 1.5))
        self._schedule(self._queue.now_us + took_us, self._finish_write, write.number, took_us)

    def _finish_write(self, number: int, took_us: int) -> None:
        if self.disk.fails_syncs:
            self.step(ev.SyncFailed())
        else:
            self.disk.sync(number)
            self.step(ev.Synced(number, took_us))

    # --- membership -----------------------------------------------------------------------------------

    def _maintain_membership(self) -> None:
        """Send hellos, found the cluster, and take the next step of the roster, again and again."""
        now_us = self.clock.now_us()
        node = self.running_replica.node
        hello = self.roster.next_hello(now_us, node)
        if hello is not None:
            for name in self._other_names():
                self._environment.network.send(self.name, name, hello)
        if not node.cluster:
            self._propose_bootstrap(now_us, node)
        elif self._founding is not None and node.log.last_index:
            self._repeat_founding(self._founding)
        change = self.roster.next_change(now_us, node)
        if change is not None:
            self.step(change)
        self._schedule(self._queue.now_us + ROSTER_INTERVAL_US, self._maintain_membership)

    def _other_names(self) -> list[str]:
        return [name for name in self._environment.hosts if name != self.name]

    def _bootstrap_cluster(self, founding: BootstrapCluster) -> None:
        node = self.running_replica.node
        self._perform(node.bootstrap_cluster(self.clock.now_us(), founding.cluster, founding.members))

    def _propose_bootstrap(self, now_us: int, node: RaftNode) -> None:
        # Drawn by all hosts, though only the first one proposes: the order of draws is part of a seed.
        cluster = f"c{self._environment.random.randrange(1 << 30)}"
        founding = self.roster.propose_bootstrap(now_us, cluster)
        if founding is not None and self.roster.accepts_bootstrap(founding, node):
            self._bootstrap_cluster(founding)
            self._founding = founding

    def _repeat_founding(self, founding: BootstrapCluster) -> None:
        """Send the founding to those whose disk does not have it yet."""
        for name in self._other_names():
            if not self._environment.hosts[name].disk.durable.cluster:
                self._environment.network.send(self.name, name, founding)
