"""Founding a cluster, and disks that join or leave it: what a voter says and does of it, with the roster's
rules.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from harriertide.consensus.messages import Member
from harriertide.consensus.replica import Effect, Replica
from harriertide.consensus.roster import Founding, Hello, Roster
from harriertide.control.member_link import MemberLink

FOUNDING_REPEAT_US = 300_000  # a voter that missed the founding hears of it this often


class ClusterMembership:
    """Says hello to other voters, and carries out what the roster decides.

    :param carry_out: carries out effects of the replica
    """

    def __init__(
        self,
        link: MemberLink,
        me: Member,
        replica: Replica,
        carry_out: Callable[[Sequence[Effect]], None],
    ) -> None:
        self._link = link
        self._replica = replica
        self._carry_out = carry_out
        self._roster = Roster(me, link.voters)
        self._founding: Founding | None = None  # of this member's own cluster, while this process founded it
        self._founding_sent_us = 0

    def tick(self, now_us: int) -> None:
        """Say hello, found the cluster or repeat its founding, and take the next change of membership."""
        node = self._replica.node
        hello = self._roster.next_hello(now_us, node)
        if hello is not None:
            self._send_to_voters(hello)
        if not node.cluster and node.role != "halted":
            self._try_to_found(now_us)
        elif self._founding is not None and not node.is_leader and not node.leader:
            self._repeat_founding(now_us, self._founding)
        change = self._roster.next_change(now_us, node)
        if change is not None:
            self._carry_out(self._replica.step(now_us, change))

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """A voter stands there; one on a fresh disk that the founding names has missed it, and is told."""
        self._roster.on_hello(now_us, hello)
        founding = self._founding
        if founding is not None and not hello.cluster and hello.sender in founding.members.voters:
            self._link.send(hello.sender.name, founding)

    def on_founding(self, now_us: int, founding: Founding) -> None:
        """The first voter of the file has founded the cluster."""
        node = self._replica.node
        if self._roster.accepts_founding(founding, node):
            self._carry_out(node.found_cluster(now_us, founding.cluster, founding.members))

    def _try_to_found(self, now_us: int) -> None:
        node = self._replica.node
        cluster = f"{self._link.environment.random.getrandbits(48):x}"
        founding = self._roster.propose_founding(now_us, cluster)
        if founding is not None and self._roster.accepts_founding(founding, node):
            self._founding = founding
            self._carry_out(node.found_cluster(now_us, founding.cluster, founding.members))

    def _repeat_founding(self, now_us: int, founding: Founding) -> None:
        """No leader is known: a voter may have missed the founding."""
        if now_us - self._founding_sent_us > FOUNDING_REPEAT_US:
            self._founding_sent_us = now_us
            self._send_to_voters(founding)

    def _send_to_voters(self, message: Hello | Founding) -> None:
        for name in self._link.voters:
            if name != self._link.name:
                self._link.send(name, message)
