"""Which nodes this broker may not send to: what is agreed on, as far as its lease goes.

Asked right before each write, by the clock of that moment. The object front is notified too, so that nothing
new is placed there.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertide.control.event_log import EventSink
from harriertide.control.member import AgreementMember
from harriertide.control.ports import NodeDirectory
from harriertide.engine.log import log
from harriertide.maintenance import send_gate
from harriertide.maintenance.state_machine import MaintenanceStateMachine


class NodeBarrier:
    """Closes nodes to this broker, and opens them again.

    :param isolation_limit_us: for how long after its lease a broker that is cut off goes on; 0: without an
        end
    :param unix_us: the reducer's clock, for when a node came back
    """

    def __init__(
        self,
        machine: MaintenanceStateMachine,
        member: AgreementMember,
        nodes: NodeDirectory,
        events: EventSink,
        isolation_limit_us: int,
        unix_us: Callable[[], int],
    ) -> None:
        self._machine = machine
        self._member = member
        self._nodes = nodes
        self._events = events
        self._isolation_limit_us = isolation_limit_us
        self._unix_us = unix_us
        self._closed: frozenset[str] | None = frozenset()
        self._lease_end_us = 0  # of the lease that _closed goes by
        self._next_change_us = 0  # when time alone changes that; 0: it does not
        self._returned_us: dict[str, int] = {}  # by node on its way back: since when it may be cold
        self.refresh(member.now_us())  # nothing is sent before the first lease

    def is_barred(self, node: str) -> bool:
        """Whether nothing may be written to a node now.

        Guards against a process that stood still: its lease is over, and no timer of it has seen that yet.
        """
        now_us = self._member.now_us()
        if self._next_change_us and now_us >= self._next_change_us:
            self.refresh(now_us)
        return self._closed is None or node in self._closed

    def refresh_when_due(self, now_us: int) -> None:
        """Refresh where the lease has changed, or where time alone changes the answer."""
        has_new_lease = self._lease_end_us != self._member.lease_end_us
        if has_new_lease or (self._next_change_us and now_us >= self._next_change_us):
            self.refresh(now_us)

    def closed_now(self, now_us: int) -> frozenset[str] | None:
        """Return the machines that this broker may not send to; None: it may send to none."""
        return send_gate.closed_machines(
            self._machine.state, now_us, self._member.lease_end_us, self._isolation_limit_us
        )

    def refresh(self, now_us: int) -> None:
        """Determine anew which nodes are closed and which came back; tell the object front of changes."""
        self._lease_end_us = self._member.lease_end_us
        self._next_change_us = send_gate.next_change_us(now_us, self._lease_end_us, self._isolation_limit_us)
        closed = self.closed_now(now_us)
        has_returned = self._update_returned()
        if closed == self._closed and not has_returned:
            return
        has_changed = closed != self._closed
        self._closed = closed
        machines = ["*"] if closed is None else sorted(closed)
        has_lease = now_us < self._lease_end_us
        self._events.write("shut", machines=machines, leased=has_lease)
        if has_changed:
            names = "all" if closed is None else ",".join(machines) or "none"
            log("nodes closed for maintenance", nodes=names, reason=self._explain(has_lease))
        self._nodes.close_nodes(closed, dict(self._returned_us))

    def _explain(self, has_lease: bool) -> str:
        if has_lease:
            return "agreed on, this broker holds a lease"
        if not self._lease_end_us:
            return "no lease since the start of this process"
        if self._closed is None:
            return "cut off for longer than blind_s"
        return "the lease is over, permitted machines count as draining"

    def _update_returned(self) -> bool:
        """Nodes that return are cold from when that was agreed on; say whether there are others now."""
        returned_us = {
            step.machine: self._returned_us.get(step.machine) or self._unix_us()
            for step in self._machine.state.active_steps()
            if step.phase == "returning"
        }
        has_changed = returned_us != self._returned_us
        self._returned_us = returned_us
        return has_changed
