"""Cluster bootstrap and membership changes, as executed by a voter."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello, MembershipReconciler
from harriertide.consensus.messages import Member
from harriertide.consensus.replica import Effect, Replica
from harriertide.consensus.state import Role
from harriertide.control.member_link import MemberLink

BOOTSTRAP_RETRY_INTERVAL_US = 300_000  # a voter may have missed the previous message


class ClusterMembership:
    """Sends hello messages to the other voters, and executes the decisions of the reconciler.

    :param execute_effects: executes effects of the replica
    """

    def __init__(
        self,
        link: MemberLink,
        me: Member,
        replica: Replica,
        execute_effects: Callable[[Sequence[Effect]], None],
    ) -> None:
        self._link = link
        self._replica = replica
        self._execute_effects = execute_effects
        self._reconciler = MembershipReconciler(me, link.voters)
        self._bootstrap: BootstrapCluster | None = None  # set if this process bootstrapped the cluster
        self._bootstrap_sent_us = 0

    def tick(self, now_us: int) -> None:
        """Send a due hello, bootstrap the cluster or resend the bootstrap, and start a membership change."""
        node = self._replica.node
        hello = self._reconciler.next_hello(now_us, node)
        if hello is not None:
            self._send_to_voters(hello)
        if not node.cluster and node.role != Role.HALTED:
            self._try_bootstrap(now_us)
        elif self._bootstrap is not None and not node.is_leader and not node.leader:
            self._resend_bootstrap(now_us, self._bootstrap)
        change = self._reconciler.next_change(now_us, node)
        if change is not None:
            self._execute_effects(self._replica.step(now_us, change))

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """Handle the hello of a voter; resend the bootstrap to an initial member that has missed it."""
        self._reconciler.on_hello(now_us, hello)
        bootstrap = self._bootstrap
        if bootstrap is not None and not hello.cluster and hello.sender in bootstrap.members.voters:
            self._link.send(hello.sender.name, bootstrap)

    def on_bootstrap(self, now_us: int, bootstrap: BootstrapCluster) -> None:
        """Join the cluster that the first voter of the operator's file has bootstrapped."""
        node = self._replica.node
        if self._reconciler.accepts_bootstrap(bootstrap, node):
            self._execute_effects(node.bootstrap_cluster(now_us, bootstrap.cluster, bootstrap.members))

    def _try_bootstrap(self, now_us: int) -> None:
        node = self._replica.node
        cluster = f"{self._link.environment.random.getrandbits(48):x}"
        bootstrap = self._reconciler.propose_bootstrap(now_us, cluster)
        if bootstrap is not None and self._reconciler.accepts_bootstrap(bootstrap, node):
            self._bootstrap = bootstrap
            self._execute_effects(node.bootstrap_cluster(now_us, bootstrap.cluster, bootstrap.members))

    def _resend_bootstrap(self, now_us: int, bootstrap: BootstrapCluster) -> None:
        """Resend the bootstrap: no leader is known, so a voter may have missed it."""
        if now_us - self._bootstrap_sent_us > BOOTSTRAP_RETRY_INTERVAL_US:
            self._bootstrap_sent_us = now_us
            self._send_to_voters(bootstrap)

    def _send_to_voters(self, message: Hello | BootstrapCluster) -> None:
        for name in self._link.voters:
            if name != self._link.name:
                self._link.send(name, message)
