"""The voter role: a Raft replica with its own store on disk."""

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

MAX_OPEN_GRANT_ROUND_COUNT = 32  # unconfirmed rounds to keep; leases of older rounds have expired
GRANT_ROUND_TIMEOUT_US = 10 * REPORT_INTERVAL_US  # newer rounds have replaced this one by then

# Messages of the Raft events that are logged for operators.
_LOG_MESSAGES = {
    LogEvent.BECAME_LEADER: "elected leader of the agreement",
    LogEvent.STARTED_TRANSFER: "transfers leadership of the agreement",
    LogEvent.STEPPED_DOWN: "stepped down as leader of the agreement",
    LogEvent.CHANGED_MEMBERSHIP: "membership of the agreement changes",
    LogEvent.HALTED: "out of the agreement until this broker is started again",
    LogEvent.INVARIANT_VIOLATED: "out of the agreement, an invariant does not hold",
}


class Voter:
    """A replica with its store, on the member's network and clock.

    :param state_machine: state machine to which committed entries are applied
    :param folder: folder of the store; a damaged store is set aside, and this broker joins as a new member
    """

    def __init__(self, link: MemberLink, state_machine: StateMachine, folder: Path, tuning: Tuning) -> None:
        self._link = link
        self._store = self._open_store(folder)
        me = Member(link.name, self._store.disk)
        random = Random(link.environment.random.getrandbits(64))
        self._replica = Replica(me, state_machine, tuning, self._store.restored, random, link.now_us())
        self._membership = ClusterMembership(link, me, self._replica, self._execute_effects)
        self.writer = DiskWriter(
            self._store, link.environment.write_to_disk, self._on_synced, self._on_disk_failure
        )
        self._grant_rounds: dict[int, GrantRound] = {}
        self._halted = ""

    def _open_store(self, folder: Path) -> Disk:
        try:
            return self._link.environment.disk(folder)
        except DamagedError as error:
            damaged_folder = set_aside(folder)
            log(
                "store damaged, kept aside; joins as a new member",
                reason=str(error),
                aside=str(damaged_folder),
            )
            self._link.events.write("damaged", reason=str(error))
            return self._link.environment.disk(folder)

    # --- queries --------------------------------------------------------------------------------------

    @property
    def disk(self) -> str:
        """Identity of the disk of this voter."""
        return self._replica.node.me.disk

    @property
    def cluster(self) -> str:
        """Identifier of the cluster stored on the disk; "" for an empty disk."""
        return self._replica.node.cluster

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it is the leader."""
        return self._replica.node.is_leader

    @property
    def leader(self) -> str:
        """Name of the leader known to this member; "" if none is known."""
        leader = self._replica.node.leader
        return leader.name if leader else ""

    @property
    def led_term(self) -> int:
        """The term in which this member is the leader; 0 if it is not the leader."""
        return self._replica.node.term if self.is_leader else 0

    @property
    def has_committed_own_term(self) -> bool:
        """Whether this member leads and knows all committed entries: it has committed one of its own term."""
        return self._replica.node.has_committed_own_term

    @property
    def voter_names(self) -> list[str]:
        """Names of the voters in the current membership."""
        return sorted(member.name for member in self._replica.node.members.voters)

    @property
    def halted(self) -> str:
        """Why this member has stopped taking part in Raft; "" while it takes part."""
        return self._halted

    @property
    def applied_state(self) -> AppliedState:
        """The state machine and the index of the last applied entry."""
        return self._replica.applied_state

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index for a child; None if they are compacted away."""
        node = self._replica.node
        if index < node.log.base_index:
            return None
        entries = node.log.entries_after(index, UPDATE_ENTRY_COUNT, UPDATE_BYTES)
        return tuple(entry for entry in entries if entry.index <= self._replica.last_applied)

    # --- events ---------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> None:
        """Run the timers of the replica and of the membership."""
        if self._replica.next_tick_us <= now_us:
            self._execute_effects(self._replica.step(now_us, ev.Tick()))
        self._membership.tick(now_us)
        self._link.tree.leader = self.leader

    def on_message(self, now_us: int, message: Message | Hello | BootstrapCluster) -> None:
        """Handle a Raft, hello or bootstrap message."""
        if isinstance(message, Hello):
            self._membership.on_hello(now_us, message)
            return
        if isinstance(message, BootstrapCluster):
            self._membership.on_bootstrap(now_us, message)
            return
        if isinstance(message, Proposal) and not message.to.name:
            # The proposal comes from an observer, which knows neither disk identities nor the cluster.
            node = self._replica.node
            message = msgspec.structs.replace(message, to=node.me, cluster=node.cluster)
        self._execute_effects(self._replica.step(now_us, ev.MessageReceived(message)))

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Do nothing: the tree has recorded the grant, and voters receive entries through Raft."""

    def start_grant_round(self, now_us: int) -> bool:
        """As leader, start a round that grants leases for all current reports once a majority confirms it.

        :returns: False if this member is not the leader
        """
        if not self.is_leader:
            return False
        number = self._link.calls.next_number()
        oldest = number - MAX_OPEN_GRANT_ROUND_COUNT
        self._grant_rounds = {n: grant_round for n, grant_round in self._grant_rounds.items() if n > oldest}
        self._grant_rounds[number] = self._link.tree.start_grant_round(now_us)
        self._execute_effects(self._replica.query(now_us, number, now_us + GRANT_ROUND_TIMEOUT_US))
        return True

    def submit(self, now_us: int, command: ClientCommand) -> None:
        """Replicate a command; its call is completed or failed later."""
        effects = self._replica.call(
            now_us, command.number, command.client, command.serial, command.data, command.deadline_us
        )
        self._execute_effects(effects)

    def withdraw(self, number: int) -> None:
        """Do nothing: the replica drops the call at its deadline."""

    async def read(self, within_s: float) -> bool:
        """Wait until all entries committed before this call are applied; False if that is not certain."""
        number, future = self._link.calls.open()
        try:
            now_us = self._link.now_us()
            self._execute_effects(self._replica.query(now_us, number, now_us + int(within_s * 1_000_000)))
            async with asyncio.timeout(within_s + 0.5):
                await future
            return True
        except (TimeoutError, CallError):
            return False
        finally:
            self._link.calls.discard(number)

    def transfer_leadership(self) -> None:
        """As leader, transfer leadership to the most suitable other voter; otherwise do nothing."""
        if self.is_leader:
            self._execute_effects(self._replica.step(self._link.now_us(), ev.TransferLeadership()))

    def close(self) -> None:
        """Close the store."""
        self._store.close()

    # --- effects --------------------------------------------------------------------------------------

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        has_applied = False
        for effect in effects:
            if isinstance(effect, EntryApplied):
                has_applied = True
                self._link.events.write(
                    "applied", index=effect.index, digest=effect.digest, fresh=effect.took_effect
                )
            else:
                self._execute_effect(effect)
        if has_applied:
            self._link.tree.activate_lease(self.applied_state.last_applied)
            self._link.listener.on_applied()
            self._link.distribute()

    def _execute_effect(self, effect: Effect) -> None:
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
        grant_round = self._grant_rounds.pop(number, None)
        if grant_round is None:
            self._link.calls.complete(number, b"")
            return
        if self.is_leader:
            self._link.tree.confirm_round(grant_round, self.applied_state.last_applied)
            self._link.listener.on_leases_granted(grant_round)
            self._link.distribute()

    def _on_log_line(self, effect: ev.LogLine) -> None:
        self._link.counts[effect.event.replace(" ", "_")] += 1
        self._link.events.write("noted", what=effect.event, term=effect.term, detail=effect.detail)
        if effect.event in _LOG_MESSAGES:
            log(_LOG_MESSAGES[effect.event], term=effect.term, reason=effect.detail)
        if effect.event in (LogEvent.HALTED, LogEvent.INVARIANT_VIOLATED):
            self._halted = effect.detail

    # --- disk -----------------------------------------------------------------------------------------

    def _on_synced(self, number: int, took_us: int) -> None:
        self._execute_effects(self._replica.step(self._link.now_us(), ev.Synced(number, took_us)))

    def _on_disk_failure(self, error: StoreError) -> None:
        log(
            "the disk refused; this broker is out of the agreement until it is started again",
            reason=str(error),
        )
        self._link.events.write("sync failed", reason=str(error))
        self._execute_effects(self._replica.step(self._link.now_us(), ev.SyncFailed()))
