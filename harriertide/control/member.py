"""Runs one member of the Raft cluster on an event loop: timers, network and calls.

All protocol decisions are made in `harriertide.consensus`.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import nullcontext
from pathlib import Path

import msgspec

from harriertide.consensus.applied_state import StateMachine
from harriertide.consensus.events import Tuning
from harriertide.consensus.fanout import FanoutTree
from harriertide.consensus.fanout_messages import SubtreeReport, SubtreeTotals, TreeUpdate
from harriertide.control.environment import Environment
from harriertide.control.event_log import EventSink
from harriertide.control.member_link import ClientCommand, MemberLink, MemberListener, Role
from harriertide.control.observer_member import ObserverMember
from harriertide.control.pending_calls import NOT_AGREED, CallError, PendingCalls
from harriertide.control.tree_updates import TreeUpdates
from harriertide.control.voter import Voter
from harriertide.control.wire import WireMessage, decode_message, encode_message
from harriertide.engine.clock import sleep_until

TICK_S = 0.025  # a quarter of the heartbeat interval; a timer fires at most this late
TRANSFER_WAIT_S = 0.1  # how long a stopping leader waits for the leadership transfer
CALL_MARGIN_S = 0.5  # added to a call's timeout; the role fails an expired call within this margin


class AgreementMember:
    """A broker in its cluster role: a voter with a store on disk, or an observer without a store.

    :param name: name of this broker
    :param addresses: listening address of each broker, by name, in the order of the operator's file
    :param voters: names of the brokers that vote
    :param folder: folder of the store; used by voters only
    :param state_machine: state machine to which committed entries are applied
    :param lease_us: duration of a lease
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, tuple[str, int]],
        voters: tuple[str, ...],
        folder: Path,
        state_machine: StateMachine,
        lease_us: int,
        events: EventSink,
        listener: MemberListener,
        environment: Environment,
        tuning: Tuning | None = None,
    ) -> None:
        random = environment.random
        self.name = name
        self.voters = voters
        self.incarnation = random.getrandbits(31) | 1  # identifies this process; never 0
        self.wait_reasons: dict[str, list[str]] = {}  # by "order/machine", from the last update of the leader
        self._addresses = addresses
        self._listener = listener
        self._events = events
        self._counts: Counter[str] = Counter()
        self._calls = PendingCalls()
        self._client_id = f"{name}-{random.getrandbits(48):x}"
        self._last_serial = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._transport = environment.transport(self._on_payload)
        first_report = random.getrandbits(48)
        self._tree = FanoutTree(name, tuple(addresses), voters, lease_us, self.now_us(), first_report)
        self._updates = TreeUpdates(name, voters, self._tree, self._send, self._counts)
        link = MemberLink(
            name=name,
            voters=voters,
            tree=self._tree,
            calls=self._calls,
            events=events,
            counts=self._counts,
            environment=environment,
            listener=listener,
            now_us=self.now_us,
            send=self._send,
            distribute=self._distribute,
        )
        self._voter = Voter(link, state_machine, folder, tuning or Tuning()) if name in voters else None
        self._role: Role = self._voter or ObserverMember(link, state_machine)

    # --- queries --------------------------------------------------------------------------------------

    def now_us(self) -> int:
        """Return the event loop's clock, which is monotonic and advances while the process is stopped."""
        return round(asyncio.get_running_loop().time() * 1_000_000)

    @property
    def is_voter(self) -> bool:
        """Whether the operator's file lists this broker as a voter."""
        return self._voter is not None

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it is the leader."""
        return self._role.led_term > 0

    @property
    def led_term(self) -> int:
        """The term in which this member is the leader; 0 if it is not the leader."""
        return self._role.led_term

    @property
    def can_propose(self) -> bool:
        """Whether this member leads and knows all committed entries: it has committed one of its own term."""
        return self._role.has_committed_own_term

    @property
    def leader(self) -> str:
        """Name of the leader known to this member; "" if none is known."""
        return self._role.leader

    @property
    def voter_names(self) -> list[str]:
        """Names of the voters known to this member."""
        return self._role.voter_names

    @property
    def halted(self) -> str:
        """Why this member has stopped taking part in Raft; "" while it takes part."""
        return self._role.halted

    @property
    def applied_index(self) -> int:
        """Index of the last log entry applied on this broker."""
        return self._role.applied_state.last_applied

    @property
    def lease_end_us(self) -> int:
        """End of the last lease, on the clock of now_us; 0 if no lease was granted since the start."""
        return self._tree.lease_end_us

    @property
    def broker_index(self) -> int:
        """Index of this broker in the operator's file."""
        return self._tree.broker_indexes[self.name]

    def has_lease(self) -> bool:
        """Return whether this broker holds a lease now."""
        return self.now_us() < self._tree.lease_end_us

    def subtree_totals(self, own_report: SubtreeReport) -> SubtreeTotals:
        """Return the merged reports of this broker and its subtree; on the leader, of all brokers."""
        return self._tree.totals(self.now_us(), own_report)

    # --- lifecycle ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Open the listening socket, and start the timers and the disk writer."""
        await self._transport.listen(self._addresses[self.name])
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run_ticks())]
        disk = cluster = ""
        if self._voter is not None:
            self._tasks.append(loop.create_task(self._voter.writer.run()))
            disk, cluster = self._voter.disk, self._voter.cluster
        self._events.write("starts", disk=disk, cluster=cluster, life=self.incarnation)

    def transfer_leadership(self) -> None:
        """As leader, transfer leadership to the most suitable other voter; otherwise do nothing."""
        self._role.transfer_leadership()

    def cancel_tasks(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks without a clean shutdown, as if the process was killed; return the tasks."""
        for task in self._tasks:
            task.cancel()
        return self._tasks

    async def close(self) -> None:
        """Transfer leadership, then close the network and the store."""
        if self.is_leader:
            self.transfer_leadership()
            await sleep_until(asyncio.get_running_loop().time() + TRANSFER_WAIT_S)
        write_lock = nullcontext() if self._voter is None else self._voter.writer.write_lock
        async with write_lock:
            self.cancel_tasks()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.close()
        self._calls.fail_all("this broker ends")
        if self._voter is not None:
            self._voter.close()
        self._events.close()

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.tick()
            await sleep_until(loop.time() + TICK_S)

    def tick(self) -> None:
        """Run the role's timers, send a due report or start a grant round, and send updates to children."""
        now_us = self.now_us()
        self._role.tick(now_us)
        if self._tree.is_report_due(now_us) and not self._role.start_grant_round(now_us):
            self._send_report(now_us)
        self._distribute()
        self._tree.activate_lease(self.applied_index)

    # --- network --------------------------------------------------------------------------------------

    def report_soon(self) -> None:
        """Send the next report at the next tick, because other brokers wait for its contents."""
        self._tree.report_soon()

    def _send_report(self, now_us: int) -> None:
        parent_and_report = self._tree.build_report(now_us, self._listener.build_report())
        if parent_and_report is not None:
            self._send(*parent_and_report)

    def _distribute(self) -> None:
        self._updates.send_all(self.now_us(), self._role, self.wait_reasons)

    def _send(self, name: str, message: WireMessage) -> None:
        address = self._addresses.get(name)
        if address is not None:
            self._transport.send(name, address, encode_message(message))

    def _on_payload(self, payload: bytes) -> bool:
        """Handle a payload from the transport; return whether it holds a valid message."""
        try:
            message = decode_message(payload)
        except msgspec.MsgspecError:
            return False
        now_us = self.now_us()
        if isinstance(message, SubtreeReport):
            self._tree.on_report(now_us, message)
        elif isinstance(message, TreeUpdate):
            self._on_update(now_us, message)
        else:
            self._role.on_message(now_us, message)
        return True

    def _on_update(self, now_us: int, update: TreeUpdate) -> None:
        self._tree.on_update(now_us, update)
        if update.granted_report and not self.is_leader:
            self.wait_reasons = update.wait_reasons
        self._role.on_update(now_us, update)
        self._tree.activate_lease(self.applied_index)

    # --- calls ----------------------------------------------------------------------------------------

    async def call(self, data: bytes, within_s: float) -> bytes:
        """Replicate a command, and wait until it is committed and applied on this broker.

        :returns: the result of the state machine
        :raises CallError: the command was not committed in time; it may still be committed later
        """
        now_us = self.now_us()
        self._last_serial += 1
        number, future = self._calls.open()
        deadline_us = now_us + int(within_s * 1_000_000)
        command = ClientCommand(number, self._client_id, self._last_serial, data, deadline_us)
        try:
            self._role.submit(now_us, command)
            async with asyncio.timeout(within_s + CALL_MARGIN_S):
                return await future
        except TimeoutError:
            raise CallError(NOT_AGREED) from None
        finally:
            self._calls.discard(number)
            self._role.withdraw(number)

    async def read(self, within_s: float) -> bool:
        """Wait until all entries committed before this call are applied; False if that is not certain."""
        return await self._role.read(within_s)

    def counters(self) -> dict[str, Counter[str]]:
        """Return the counters by component."""
        return {"agreement": self._counts, "agreement_wire": self._transport.counts}
