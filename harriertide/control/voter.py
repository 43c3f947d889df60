"""The role of a broker with a vote: a replica of the agreed log on a disk of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path
from random import Random

import msgspec

from harriertide.consensus import events as ev
from harriertide.consensus.applied_state import AppliedState, StateMachine
from harriertide.consensus.disk_format import DamagedError
from harriertide.consensus.events import LogEvent, Tuning
from harriertide.consensus.fanout import (
    REPORT_INTERVAL_US,
    UPDATE_BYTES,
    UPDATE_ENTRY_COUNT,
    GrantRound,
)
from harriertide.consensus.fanout_messages import TreeUpdate
from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello
from harriertide.consensus.messages import Entry, Member, Message, Proposal
from harriertide.consensus.replica import (
    CallCompleted,
    Effect,
    EntryApplied,
    ReadCompleted,
    Replica,
    RequestExpired,
)
from harriertide.consensus.store import StoreError, set_aside
from harriertide.control.cluster_membership import ClusterMembership
from harriertide.control.disk_writer import DiskWriter
from harriertide.control.environment import Disk
from harriertide.control.member_link import ClientCommand, MemberLink
from harriertide.control.pending_calls import NOT_AGREED, CallError
from harriertide.engine.log import log

MAX_OPEN_GRANT_ROUND_COUNT = 32  # that wait for a majority; what older ones grant has expired
GRANT_ROUND_TIMEOUT_US = 10 * REPORT_INTERVAL_US  # newer rounds are under way by then

# What an operator reads of an event of the agreement, and which ones.
_LOG_LINES = {
    LogEvent.BECAME_LEADER: "elected leader of the agreement",
    LogEvent.STARTED_TRANSFER: "transfers leadership of the agreement",
    LogEvent.STEPPED_DOWN: "stepped down as leader of the agreement",
    LogEvent.CHANGED_MEMBERSHIP: "membership of the agreement changes",
    LogEvent.HALTED: "out of the agreement until this broker is started again",
    LogEvent.INVARIANT_VIOLATED: "out of the agreement, an invariant does not hold",
}


class Voter:
    """A replica with its store, on the member's network and clock.

    :param machine: the state machine behind the log
    :param folder: of the store; one that is damaged is kept aside, and this broker joins as a new member
    """

    def __init__(self, link: MemberLink, machine: StateMachine, folder: Path, tuning: Tuning) -> None:
        self._link = link
        self._store = self._open_store(folder)
        me = Member(link.name, self._store.disk)
        random = Random(link.environment.random.getrandbits(64))
        self._replica = Replica(me, machine, tuning, self._store.restored, random, link.now_us())
        self._membership = ClusterMembership(link, me, self._replica, self._carry_out)
        self.writer = DiskWriter(
            self._store, link.environment.write_to_disk, self._on_synced, self._on_disk_failure
        )
        self._grant_rounds: dict[int, GrantRound] = {}
        self._halted = ""

    def _open_store(self, folder: Path) -> Disk:
        try:
            return self._link.environment.disk(folder)
        except DamagedError as error:
            aside = set_aside(folder)
            log("store damaged, kept aside; joins as a new member", reason=str(error), aside=str(aside))
            self._link.events.write("damaged", reason=str(error))
            return self._link.environment.disk(folder)

    # --- questions ------------------------------------------------------------------------------------

    @property
    def disk(self) -> str:
        """The identity of its disk."""
        return self._replica.node.me.disk

    @property
    def cluster(self) -> str:
        """The cluster that its disk is of; "" for an empty disk."""
        return self._replica.node.cluster

    @property
    def is_leader(self) -> bool:
        """Whether it leads, as far as it knows."""
        return self._replica.node.is_leader

    @property
    def leader(self) -> str:
        """The broker that it takes for the leader; "" for none."""
        leader = self._replica.node.leader
        return leader.name if leader else ""

    @property
    def led_term(self) -> int:
        """The term in which it leads; 0 where it does not."""
        return self._replica.node.term if self.is_leader else 0

    @property
    def has_committed_own_term(self) -> bool:
        """Whether it leads and knows all that was agreed on before its election."""
        return self._replica.node.has_committed_own_term

    @property
    def voter_names(self) -> list[str]:
        """The voters of the membership that counts now."""
        return sorted(member.name for member in self._replica.node.members.voters)

    @property
    def halted(self) -> str:
        """Why it takes no part in the agreement any more; "" while it does."""
        return self._halted

    @property
    def applied_state(self) -> AppliedState:
        """The state machine, with the index up to which it is applied."""
        return self._replica.applied_state

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index for a child; None where the log begins later."""
        node = self._replica.node
        if index < node.log.base_index:
            return None
        entries = node.log.entries_after(index, UPDATE_ENTRY_COUNT, UPDATE_BYTES)
        return tuple(entry for entry in entries if entry.index <= self._replica.last_applied)

    # --- events ---------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> None:
        """Do what is due by time alone."""
        if self._replica.next_tick_us <= now_us:
            self._carry_out(self._replica.step(now_us, ev.Tick()))
        self._membership.tick(now_us)
        self._link.tree.leader = self.leader

    def on_message(self, now_us: int, message: Message | Hello | BootstrapCluster) -> None:
        """Take a message of the agreement."""
        if isinstance(message, Hello):
            self._membership.on_hello(now_us, message)
            return
        if isinstance(message, BootstrapCluster):
            self._membership.on_bootstrap(now_us, message)
            return
        if isinstance(message, Proposal) and not message.to.name:
            # An observer's, which knows neither disks nor the cluster.
            node = self._replica.node
            message = msgspec.structs.replace(message, to=node.me, cluster=node.cluster)
        self._carry_out(self._replica.step(now_us, ev.MessageReceived(message)))

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Take a grant of the leader's: the tree has it; entries come by the agreement itself."""

    def start_grant_round(self, now_us: int) -> bool:
        """As leader, ask a majority to confirm it, so that all reports of now are granted a lease."""
        if not self.is_leader:
            return False
        number = self._link.calls.next_number()
        oldest = number - MAX_OPEN_GRANT_ROUND_COUNT
        self._grant_rounds = {n: granted for n, granted in self._grant_rounds.items() if n > oldest}
        self._grant_rounds[number] = self._link.tree.start_grant_round(now_us)
        self._carry_out(self._replica.query(now_us, number, now_us + GRANT_ROUND_TIMEOUT_US))
        return True

    def submit(self, now_us: int, command: ClientCommand) -> None:
        """Have a command agreed on; its call is completed or failed later."""
        effects = self._replica.call(
            now_us, command.number, command.client, command.serial, command.data, command.deadline_us
        )
        self._carry_out(effects)

    def withdraw(self, number: int) -> None:
        """Stop attempts for a call: the replica gives it up at its deadline by itself."""

    async def read(self, within_s: float) -> bool:
        """Wait until the state holds all that was agreed on by now; False where that can't be known."""
        number, future = self._link.calls.open()
        try:
            now_us = self._link.now_us()
            self._carry_out(self._replica.query(now_us, number, now_us + int(within_s * 1_000_000)))
            async with asyncio.timeout(within_s + 0.5):
                await future
            return True
        except (TimeoutError, CallError):
            return False
        finally:
            self._link.calls.discard(number)

    def transfer_leadership(self) -> None:
        """If it leads, hand over to the best of the others."""
        if self.is_leader:
            self._carry_out(self._replica.step(self._link.now_us(), ev.TransferLeadership()))

    def close(self) -> None:
        """Close the store."""
        self._store.close()

    # --- effects --------------------------------------------------------------------------------------

    def _carry_out(self, effects: Sequence[Effect]) -> None:
        has_applied = False
        for effect in effects:
            if isinstance(effect, EntryApplied):
                has_applied = True
                self._link.events.write(
                    "applied", index=effect.index, digest=effect.digest, fresh=effect.took_effect
                )
            else:
                self._carry_out_one(effect)
        if has_applied:
            self._link.tree.activate_lease(self.applied_state.last_applied)
            self._link.listener.on_applied()
            self._link.distribute()

    def _carry_out_one(self, effect: Effect) -> None:
        match effect:
            case ev.SendMessage():
                self._link.send(effect.message.to.name, effect.message)
            case ev.Persist():
                self.writer.submit(effect)
            case CallCompleted():
                self._link.calls.complete(effect.number, effect.answer)
            case ReadCompleted():
                self._on_read_completed(effect.number)
            case RequestExpired():
                self._grant_rounds.pop(effect.number, None)
                self._link.calls.fail(effect.number, NOT_AGREED)
            case ev.LogLine():
                self._on_log_line(effect)

    def _on_read_completed(self, number: int) -> None:
        granted = self._grant_rounds.pop(number, None)
        if granted is None:
            self._link.calls.complete(number, b"")
            return
        if self.is_leader:
            self._link.tree.confirm_round(granted, self.applied_state.last_applied)
            self._link.listener.on_leases_granted(granted)
            self._link.distribute()

    def _on_log_line(self, effect: ev.LogLine) -> None:
        self._link.counts[effect.event.replace(" ", "_")] += 1
        self._link.events.write("noted", what=effect.event, term=effect.term, detail=effect.detail)
        if effect.event in _LOG_LINES:
            log(_LOG_LINES[effect.event], term=effect.term, reason=effect.detail)
        if effect.event in (LogEvent.HALTED, LogEvent.INVARIANT_VIOLATED):
            self._halted = effect.detail

    # --- the disk -------------------------------------------------------------------------------------

    def _on_synced(self, number: int, took_us: int) -> None:
        self._carry_out(self._replica.step(self._link.now_us(), ev.Synced(number, took_us)))

    def _on_disk_failure(self, error: StoreError) -> None:
        log(
            "the disk refused; this broker is out of the agreement until it is started again",
            reason=str(error),
        )
        self._link.events.write("sync failed", reason=str(error))
        self._carry_out(self._replica.step(self._link.now_us(), ev.SyncFailed()))
