"""Faults of hosts and links: which there are, and how each begins and ends."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harriertide.consensus.state import Role
from harriertide.lab.raft_simulation.event_queue import EventQueue
from harriertide.lab.raft_simulation.host import Host
from harriertide.lab.raft_simulation.simulated_disk import SYNC_US
from harriertide.lab.raft_simulation.simulated_network import SimulatedNetwork

SLOW_SYNC_US = 500_000  # a leader whose disk is so slow transfers leadership: see Tuning.slow_sync_us
LOSS_RATIOS = (0.0, 0.1, 0.3)  # of messages, drawn evenly


class FaultKind(StrEnum):
    """What can go wrong."""

    CRASH = "crash"  # of one process
    DISK_LOSS = "disk loss"  # a crash, and the next process finds an empty disk
    CRASH_OF_ALL = "crash of all"
    PAUSE = "pause"  # a process stands still, as after SIGSTOP; its clock goes on
    ONE_WAY_PARTITION = "one-way partition"  # one link in one direction
    PARTITION = "partition"  # a minority from the others
    SLOW_DISK = "slow disk"
    FSYNC_FAILURE = "fsync failure"
    MESSAGE_LOSS = "message loss"


# Drawn evenly, so that crashes are the most frequent. The order is part of what a seed means.
FAULT_KINDS = (FaultKind.CRASH, *FaultKind)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, which ends by itself.

    :ivar peer: the other end of the link of a one-way partition, which may be the host itself
    """

    kind: FaultKind
    host: Host
    peer: Host
    duration_us: int


class FaultInjector:
    """Begins faults, and ends each after its duration.

    :ivar injected: the kinds of all faults so far
    """

    def __init__(
        self, queue: EventQueue, random: Random, network: SimulatedNetwork, hosts: Mapping[str, Host]
    ) -> None:
        self._queue = queue
        self._random = random
        self._network = network
        self._hosts = hosts
        self.injected: list[FaultKind] = []
        self._actions: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.CRASH: self._crash,
            FaultKind.DISK_LOSS: self._lose_disk,
            FaultKind.CRASH_OF_ALL: self._crash_all,
            FaultKind.PAUSE: self._pause,
            FaultKind.ONE_WAY_PARTITION: self._partition_one_way,
            FaultKind.PARTITION: self._partition,
            FaultKind.SLOW_DISK: self._slow_down_disk,
            FaultKind.FSYNC_FAILURE: self._fail_syncs,
            FaultKind.MESSAGE_LOSS: self._lose_messages,
        }

    def inject(self, fault: Fault) -> None:
        """Begin a fault; one of a process has no effect where none runs."""
        self.injected.append(fault.kind)
        self._actions[fault.kind](fault)

    def _crash(self, fault: Fault) -> None:
        if fault.host.replica is not None:
            fault.host.crash()
            self._queue.call_later(fault.duration_us, fault.host.start_if_down)

    def _lose_disk(self, fault: Fault) -> None:
        if fault.host.replica is not None:
            fault.host.crash()
            fault.host.replace_disk()
            self._queue.call_later(fault.duration_us, fault.host.start_if_down)

    def _crash_all(self, fault: Fault) -> None:
        for host in self._hosts.values():
            if host.replica is not None:
                host.crash()
                self._queue.call_later(self._random.randint(1, fault.duration_us), host.start_if_down)

    def _pause(self, fault: Fault) -> None:
        fault.host.paused_until_us = self._queue.now_us + fault.duration_us

    def _partition_one_way(self, fault: Fault) -> None:
        link = fault.host.name, fault.peer.name
        self._network.cut_links.add(link)
        self._queue.call_later(fault.duration_us, self._network.heal, {link})

    def _partition(self, fault: Fault) -> None:
        names = list(self._hosts)
        minority_count = self._random.randint(1, len(names) // 2)
        links = self._network.partition(set(self._random.sample(names, minority_count)))
        self._queue.call_later(fault.duration_us, self._network.heal, links)

    def _slow_down_disk(self, fault: Fault) -> None:
        disk = fault.host.disk

        def end() -> None:
            disk.sync_us = SYNC_US

        disk.sync_us = SLOW_SYNC_US
        self._queue.call_later(fault.duration_us, end)

    def _fail_syncs(self, fault: Fault) -> None:
        """A process that met the failure has halted for good: at the end it is replaced by another one."""
        host = fault.host

        def end() -> None:
            host.disk.fails_syncs = False
            if host.replica is not None and host.replica.node.role == Role.HALTED:
                host.crash()
            host.start_if_down()

        host.disk.fails_syncs = True
        self._queue.call_later(fault.duration_us, end)

    def _lose_messages(self, fault: Fault) -> None:
        """Lose another part of the messages from now on, which may be none."""
        self._network.loss_ratio = self._random.choice(LOSS_RATIOS)
