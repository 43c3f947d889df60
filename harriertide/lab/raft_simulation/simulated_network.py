"""Links between hosts: they delay, reorder, duplicate and lose messages, and can be cut in one direction."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello
from harriertide.consensus.messages import Message
from harriertide.lab.raft_simulation.event_queue import EventQueue

MIN_DELAY_US, MAX_DELAY_US = 300, 8_000
DUPLICATE_RATIO = 0.02  # of messages
Link = tuple[str, str]  # from one host to another
Payload = Message | Hello | BootstrapCluster


class SimulatedNetwork:
    """Carries messages between hosts.

    :ivar receivers: by host: takes a message that has arrived
    :ivar cut_links: links that carry nothing
    :ivar loss_ratio: of messages on the other links
    """

    def __init__(self, queue: EventQueue, random: Random) -> None:
        self._queue = queue
        self._random = random
        self.receivers: dict[str, Callable[[Payload], None]] = {}
        self.cut_links: set[Link] = set()
        self.loss_ratio = 0.0

    def send(self, sender: str, receiver: str, message: Payload) -> None:
        """Deliver a message after a while, maybe twice, maybe never."""
        if (sender, receiver) in self.cut_links or self._random.random() < self.loss_ratio:
            return
        for _ in range(1 + (self._random.random() < DUPLICATE_RATIO)):
            delay_us = self._random.randint(MIN_DELAY_US, MAX_DELAY_US)
            self._queue.call_later(delay_us, self.receivers[receiver], message)

    def can_exchange(self, one: str, other: str) -> bool:
        """Whether messages pass between two hosts in both directions."""
        return (one, other) not in self.cut_links and (other, one) not in self.cut_links

    def partition(self, group: set[str]) -> set[Link]:
        """Cut all links between these hosts and the others.

        :returns: those links, for heal
        """
        hosts = self.receivers
        links = {(a, b) for a in hosts for b in hosts if (a in group) != (b in group)}
        self.cut_links |= links
        return links

    def heal(self, links: set[Link]) -> None:
        """Restore these links."""
        self.cut_links -= links

    def heal_all(self) -> None:
        """Restore all links, and lose no messages any more."""
        self.cut_links.clear()
        self.loss_ratio = 0.0
