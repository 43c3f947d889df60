"""Determines the nodes to which this broker may not send, from the committed permits and its lease.

The barrier is checked by the clock right before each write. The object front is notified as well, so that it
places no new requests on closed nodes.
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
    """Closes nodes to this broker and reopens them.

    :param isolation_limit_us: how long an isolated broker keeps sending after its lease ended; 0 for no limit
    :param unix_us: the reducer's clock, for the times at which nodes returned
    """

    def __init__(
        self,
        state_machine: MaintenanceStateMachine,
        member: AgreementMember,
        nodes: NodeDirectory,
        events: EventSink,
        isolation_limit_us: int,
        unix_us: Callable[[], int],
    ) -> None:
        self._state_machine = state_machine
        self._member = member
        self._nodes = nodes
        self._events = events
        self._isolation_limit_us = isolation_limit_us
        self._unix_us = unix_us
        self._closed: frozenset[str] | None = frozenset()
        self._lease_end_us = 0  # end of the lease on which _closed is based
        self._next_change_us = 0  # when the passing of time alone changes _closed; 0 for never
        self._returned_us: dict[str, int] = {}  # by returning node: time since which it may be cold
        self.refresh(member.now_us())  # nothing is sent before the first lease

    def is_barred(self, node: str) -> bool:
        """Return whether writes to a node are forbidden now.

        The check reads the clock, because the lease of a process that was paused may have ended before any of
        its timers runs again.
        """
        now_us = self._member.now_us()
        if self._next_change_us and now_us >= self._next_change_us:
            self.refresh(now_us)
        return self._closed is None or node in self._closed

    def refresh_when_due(self, now_us: int) -> None:
        """Refresh if the lease has changed, or if the closed nodes change at this time."""
        has_new_lease = self._lease_end_us != self._member.lease_end_us
        if has_new_lease or (self._next_change_us and now_us >= self._next_change_us):
            self.refresh(now_us)

    def closed_now(self, now_us: int) -> frozenset[str] | None:
        """Return the machines to which this broker may not send; None if it may not send to any machine."""
        return send_gate.closed_machines(
            self._state_machine.state, now_us, self._member.lease_end_us, self._isolation_limit_us
        )

    def refresh(self, now_us: int) -> None:
        """Recompute which nodes are closed and which are returning; notify the object front of changes."""
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
            log("nodes closed for maintenance", nodes=names, reason=self._explain_closure(has_lease))
        self._nodes.close_nodes(closed, dict(self._returned_us))

    def _explain_closure(self, has_lease: bool) -> str:
        if has_lease:
            return "committed permits, this broker holds a lease"
        if not self._lease_end_us:
            return "no lease since the start of this process"
        if self._closed is None:
            return "no lease for longer than blind_s"
        return "the lease has expired, so permitted machines count as draining"

    def _update_returned(self) -> bool:
        """Update the times since which returning nodes may be cold; return whether they changed."""
        returned_us = {
            step.machine: self._returned_us.get(step.machine) or self._unix_us()
            for step in self._state_machine.state.active_steps()
            if step.phase == "returning"
        }
        has_changed = returned_us != self._returned_us
        self._returned_us = returned_us
        return has_changed
