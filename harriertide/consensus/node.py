"""One member of the agreed log: Raft with pre-vote, a check of the quorum, transfer of leadership, reads by
index, pipelined appends, snapshots in pieces and changes of one member at a time. Pure: events in, effects
out, time and random numbers as arguments.

The invariants (Ongaro and Ousterhout 2014; Ongaro 2014, chapters 3, 4 and 6; his note of 2015 on single
changes), each kept where it is named below and tested by harriertide/lab/check.py:

ELECTION   one leader a term: a vote is on the disk before it is sent; only the disk of the list may cast it
APPEND     a leader never takes back or changes an entry of its own log
MATCH      equal index and term: equal entries, here and before
COMPLETE   what is committed is in the log of every later leader
COMMIT     only entries of the leader's own term are committed by count, of synced copies
CHANGE     one member at a time, the next after the last is committed, the first after an entry of the own
           term: the majorities of two lists in a row share a member
"""

from __future__ import annotations

from collections import deque
from random import Random
from statistics import median
from typing import Any

import xxhash
from msgspec import msgpack

from harriertide.consensus import events as ev
from harriertide.consensus.events import Progress, Tuning
from harriertide.consensus.log import Log
from harriertide.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    EntryKind,
    Member,
    Membership,
    Message,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

NEVER_US = 1 << 62
ROUNDS_KEPT = 64
NOBODY = Membership((), ())
_HANDLERS: dict[type, str] = {
    VoteRequest: "_asked",
    VoteResponse: "_voted",
    AppendRequest: "_append",
    AppendResponse: "_appended",
    SnapshotChunk: "_piece",
    SnapshotChunkResponse: "_piece_taken",
    TimeoutNow: "_take_over",
}


class InvariantViolationError(Exception):
    """An invariant does not hold: this member must not go on."""


class Node:
    """The state of one member. step is the only way to change it."""

    def __init__(
        self, me: Member, tuning: Tuning, found: ev.RestoredState, random: Random, now_us: int
    ) -> None:
        self.me, self.tuning, self._random = me, tuning, random
        self.cluster, self.term, self.voted_for = found.cluster, found.term, found.voted_for
        self.snapshot = found.snapshot
        base = (found.snapshot.index, found.snapshot.term) if found.snapshot else (0, 0)
        self.log = Log(*base, found.entries)
        self._views: list[
            tuple[int, Membership]
        ] = []  # the lists of members, by the index that they hold from
        if found.snapshot:
            self._views.append((found.snapshot.index, found.snapshot.members))
        for entry in found.entries:
            self._see(entry)
        self.commit_index = self.log.base_index
        self.durable_index = self.log.last_index  # of the log, on this disk
        self.role = "follower"  # or candidate, leader, halted
        self.leader: Member | None = None
        self.campaign = ""  # "pre" or "vote" while it stands for election
        self._standing_term = 0
        self._votes: dict[Member, bool] = {}
        self._by_transfer = False
        self._now = now_us
        self.heard_us = now_us  # of a leader
        self._patience_us = tuning.election_timeout_us
        self._wait_us = 0
        self._draw()
        self._number = 0  # of the last Persist
        self._done = 0  # of those synced
        self._pending: deque[list[int]] = deque()  # number and last index of what is being synced
        self._after: deque[tuple[int, Message]] = deque()  # messages that promise what is being synced
        self._term_number = 0  # the Persist that holds the present term and vote
        self._sync_us = 0.0
        # as leader
        self.progress: dict[Member, Progress] = {}
        self._round = 0
        self._rounds: dict[int, int] = {}  # when each was sent
        self._beat_us = 0
        self._term_start = 0  # index of the first entry of the own term
        self._reads: deque[tuple[int, int, int]] = deque()  # round, number, index
        self._early_reads: list[int] = []
        self._heir: Member | None = None
        self._heir_us = 0
        self._shed_us = 0
        # as a member that is sent a snapshot
        self._coming: tuple[int, int, int] | None = None
        self._held = bytearray()
        self._effects: list[ev.Effect] = []

    # --- questions ------------------------------------------------------------------------------------

    @property
    def members(self) -> Membership:
        """Those of the latest list in the log, committed or not."""
        return self._views[-1][1] if self._views else NOBODY

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.role == "leader"

    @property
    def has_committed_own_term(self) -> bool:
        """As leader: it may tell what is committed, and change members."""
        return self.is_leader and self.commit_index >= self._term_start

    @property
    def election_timeout_us(self) -> int:
        """The silence of a leader that this member bears."""
        return self._patience_us

    @property
    def next_tick_us(self) -> int:
        """When it wants a Tick."""
        if self.role == "halted":
            return NEVER_US
        if self.is_leader:
            return self._beat_us
        if self.me not in self.members.voters:
            return NEVER_US
        return self.heard_us + self._wait_us

    def members_at(self, index: int) -> Membership:
        """The list that holds at an index."""
        found = NOBODY
        for start, members in self._views:
            if start <= index:
                found = members
        return found

    # --- the way in -----------------------------------------------------------------------------------

    def step(self, now_us: int, event: ev.Event) -> list[ev.Effect]:
        """Take an event; what is to be done, in order."""
        if self.role == "halted":
            return []
        self._now = max(self._now, now_us)
        self._effects = []
        if isinstance(event, ev.MessageReceived):
            self._receive(event.message)
        elif isinstance(event, ev.Tick):
            self._tick()
        elif isinstance(event, ev.ElectionTimedOut):
            if not self.is_leader and self.me in self.members.voters:
                self._stand("pre")
        elif isinstance(event, ev.Synced):
            self._sync_done(event)
        elif isinstance(event, ev.SyncFailed):
            self._note("halted", "the disk refused")
            self._lose_reads()
            self.role, self.leader = "halted", None
        elif isinstance(event, ev.Proposed):
            if self.is_leader and self._heir is None:
                self._extend("command", event.data, event.client, event.serial)
        elif isinstance(event, ev.ReadRequested):
            self._read(event.number)
        elif isinstance(event, ev.TransferLeadership):
            self._transfer(event.to)
        elif isinstance(event, ev.ChangeMembership):
            self._change(event)
        else:
            self._compact(event)
        return self._effects

    def found_cluster(self, now_us: int, cluster: str, members: Membership) -> list[ev.Effect]:
        """On an empty disk: the first list, as an entry 1 of term 1 that all founding disks have alike."""
        assert not self.cluster and not self.log.last_index
        self._now, self._effects = max(self._now, now_us), []
        self.cluster, self.term = cluster, 1
        entry = Entry(1, 1, "members", encode_members(members))
        self.log.append(entry)
        self._see(entry)
        self._persist(entries=(entry,))
        self.heard_us = now_us
        self._draw()
        return self._effects

    def _receive(self, message: Message) -> None:
        kind = type(message)
        if message.to != self.me or kind not in _HANDLERS:
            return  # meant for a disk that this broker had before, or had not yet
        if self.cluster != message.cluster:
            if self.cluster or kind not in (AppendRequest, SnapshotChunk, VoteRequest):
                return
            # a fresh disk that the cluster's list names: whoever sent this has it in its list
            self.cluster = message.cluster
            self._persist()
        if isinstance(message, VoteRequest):
            self._asked(message)
            return
        if message.term > self.term and not (
            isinstance(message, VoteResponse) and message.pre and message.granted
        ):
            self._follow(message.term, None)
        if message.term < self.term:
            if isinstance(
                message, (AppendRequest, SnapshotChunk)
            ):  # an old leader: it hears of the newer term
                self._reply(
                    AppendResponse, message.sender, ok=False, prev=0, taken=0, match=0, round=0, sync_us=0
                )
            return
        getattr(self, _HANDLERS[kind])(message)

    # --- time -----------------------------------------------------------------------------------------

    def _draw(self) -> None:
        self._wait_us = self._random.randint(self._patience_us, 2 * self._patience_us)

    def _tick(self) -> None:
        if self.is_leader:
            if self._now >= self._beat_us:
                self._lead()
        elif self.me in self.members.voters and self._now >= self.heard_us + self._wait_us:
            self._stand("pre")

    def _lead(self) -> None:
        """A beat as leader: who hears it, whether it should hand over, and a round to all."""
        voters = self.members.voters
        near = [m for m in voters if m == self.me or self._heard_lately(m)]
        if len(near) < self.members.majority:
            # guards against a leader that is cut off and answers for a cluster that has gone on
            self._note("stepped down", "hears no majority")
            self._follow(self.term, None)
            return
        if self._heir is not None and self._now >= self._heir_us:
            self._heir = None  # it did not take over; go on
        self._shed()
        self._learn_patience()
        self._beat_us = self._now + self.tuning.heartbeat_us
        self._broadcast()

    def _heard_lately(self, member: Member) -> bool:
        p = self.progress.get(member)
        return p is not None and self._now - p.heard_us <= 2 * self._patience_us

    def _learn_patience(self) -> None:
        """Round trips and syncs as measured: an election takes two of each, a beat one trip."""
        trips = [p.rtt_us for m, p in self.progress.items() if p.rtt_us and m in self.members.voters]
        syncs = [p.sync_us for m, p in self.progress.items() if p.sync_us and m in self.members.voters]
        need = 6 * (median(trips) if trips else 0) + 3 * (median(syncs) if syncs else 0)
        bound = self.tuning.max_election_timeout_us
        self._patience_us = int(min(bound, max(self.tuning.election_timeout_us, need)))

    def _shed(self) -> None:
        """A leader whose disk is slow hands over: each agreement that needs its own copy would wait."""
        syncs = [p.sync_us for m, p in self.progress.items() if m in self.members.voters and p.sync_us]
        slow = self._sync_us > self.tuning.slow_sync_us and syncs and self._sync_us > 4 * median(syncs)
        if slow and self._heir is None and self._now - self._shed_us > 5_000_000:
            self._shed_us = self._now
            self._note("hands over", "its own disk is slow")
            self._transfer(None)

    # --- elections ------------------------------------------------------------------------------------

    def _stand(self, standing: str) -> None:
        self.role, self.leader, self.campaign = "candidate", None, standing
        self.heard_us = self._now
        self._draw()
        self._votes = {self.me: False}
        pre = standing == "pre"
        if not pre:
            self.term, self.voted_for = self.term + 1, self.me
            self._persist(term=True)  # ELECTION
        self._standing_term = self.term + pre
        self._note("stands", standing)
        for voter in self.members.voters:
            if voter != self.me:
                self._send(
                    VoteRequest(
                        self.cluster, self.me, voter, self._standing_term, self.log.last_index,
                        self.log.last_term, pre, self._by_transfer,
                    ),
                    durable=True,
                )  # fmt: skip
        if pre:
            self._count_own()

    def _count_own(self) -> None:
        """The own vote: at once for a question, when synced for a vote."""
        if self.role == "candidate" and (self.campaign == "pre" or self._done >= self._term_number):
            self._votes[self.me] = True
            self._count()

    def _count(self) -> None:
        if sum(self._votes.get(m, False) for m in self.members.voters) < self.members.majority:
            return
        if self.campaign == "pre":
            self._stand("vote")
        else:
            self._win()

    def _asked(self, message: VoteRequest) -> None:
        hears = self.is_leader or (self.leader is not None and self._now - self.heard_us < self._patience_us)
        if hears and not message.transfer and self.leader != message.sender:
            # guards against a member that was cut off unseating a leader that the others hear
            leader = self.leader.name if self.leader else ""
            self._send(
                VoteResponse(self.cluster, self.me, message.sender, self.term, False, message.pre, leader)
            )
            return
        if message.term > self.term and not message.pre:
            self._follow(message.term, None)
        ahead = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        if message.pre:
            granted = message.term > self.term and ahead
            term = message.term if granted else self.term
            self._send(VoteResponse(self.cluster, self.me, message.sender, term, granted, True), durable=True)
            return
        free = self.voted_for is None or self.voted_for == message.sender
        granted = message.term == self.term and free and ahead and not self.is_leader
        if granted:
            if self.voted_for is None:
                self.voted_for = message.sender
                self._persist(term=True)
            self.heard_us = self._now
            self._draw()
        self._send(
            VoteResponse(self.cluster, self.me, message.sender, self.term, granted), durable=True
        )  # ELECTION

    def _voted(self, message: VoteResponse) -> None:
        pre = self.campaign == "pre"
        if self.role != "candidate" or message.pre != pre or message.term != self._standing_term:
            return
        if message.sender in self.members.voters and message.granted:
            self._votes[message.sender] = True
            self._count()

    def _win(self) -> None:
        self.role, self.leader, self.campaign, self._by_transfer = "leader", self.me, "", False
        self.progress = {}
        self._track()
        self._round, self._rounds, self._heir = 0, {}, None
        self._lose_reads()
        self._term_start = self.log.last_index + 1
        self._note("leads")
        self._extend("noop")
        self._beat_us = self._now + self.tuning.heartbeat_us

    def _take_over(self, message: TimeoutNow) -> None:
        if message.sender == self.leader and self.me in self.members.voters:
            self._by_transfer = True
            self._stand("vote")
            self._count_own()

    def _follow(self, term: int, leader: Member | None) -> None:
        was = self.role
        if term > self.term:
            self.term, self.voted_for = term, None
            self._persist(term=True)
        self.role, self.campaign, self._by_transfer = "follower", "", False
        self._lose_reads()
        if was == "leader":
            self._note("follows")
            self.progress, self._heir = {}, None
            self.heard_us = self._now
            self._draw()
        if leader is not None and leader != self.leader:
            self._note("hears", leader.name)
        self.leader = leader

    # --- appending, as leader -------------------------------------------------------------------------

    def _extend(self, kind: EntryKind, data: bytes = b"", client: str = "", serial: int = 0) -> None:
        entry = Entry(self.log.last_index + 1, self.term, kind, data, client, serial)
        self.log.append(entry)  # APPEND
        self._see(entry)
        self._persist(entries=(entry,))
        self._track()
        for member in self.progress:
            self._feed(member)

    def _track(self) -> None:
        """Know of all members but this one, and of no others."""
        for member in self.members.all:
            if member != self.me and member not in self.progress:
                self.progress[member] = Progress(self.log.last_index + 1, heard_us=self._now)
        for member in [m for m in self.progress if m not in self.members.all]:
            del self.progress[member]

    def _broadcast(self) -> None:
        """A round: heard by a majority it shows that this member still leads."""
        self._round += 1
        self._rounds[self._round] = self._now
        self._rounds.pop(self._round - ROUNDS_KEPT, None)
        for member, p in self.progress.items():
            p.probe_sent = False
            if p.inflight and self._now - p.heard_us > self._patience_us:
                p.probing, p.inflight = True, []  # what was on its way is lost
            if p.snapshot is not None and self._now - p.chunk_sent_us > 2 * self.tuning.heartbeat_us:
                self._send_piece(member, p)
            self._feed(member, beat=True)
        self._check_reads()

    def _feed(self, member: Member, beat: bool = False) -> None:
        """What it lacks, as far as its window is open; on a beat at least a word."""
        p = self.progress[member]
        if p.next_index <= self.log.base_index and p.snapshot is None:
            p.snapshot, p.offset = self.snapshot, 0
            self._send_piece(member, p)
            return
        if p.snapshot is not None:
            if beat:
                self._send_piece(member, p, word=True)
            return
        sent = False
        while not (p.probing and p.probe_sent) and len(p.inflight) < self.tuning.max_inflight_appends:
            entries = self.log.entries_after(
                p.next_index - 1, self.tuning.batch_entries, self.tuning.batch_bytes
            )
            if not entries and not (beat and not sent):
                break
            self._send_append(member, p, entries)
            sent, p.probe_sent = True, True
            if entries and not p.probing:
                p.next_index = entries[-1].index + 1
                p.inflight.append(entries[-1].index)
            if p.probing or not entries:
                break
        if beat and not sent:
            self._send_append(member, p, ())

    def _send_append(self, member: Member, p: Progress, entries: tuple[Entry, ...]) -> None:
        term = self.log.term_at(p.next_index - 1)
        assert term is not None
        self._send(
            AppendRequest(
                self.cluster, self.me, member, self.term, p.next_index - 1, term, entries,
                self.commit_index, self._round, self._patience_us,
            )
        )  # fmt: skip

    def _heard_from(self, member: Member, round_: int) -> Progress | None:
        p = self.progress.get(member)
        if p is None or not self.is_leader:
            return None
        p.heard_us = self._now
        if round_ > p.last_answered_round:
            p.last_answered_round = round_
            if round_ in self._rounds:
                trip = self._now - self._rounds[round_]
                p.rtt_us = trip if not p.rtt_us else 0.8 * p.rtt_us + 0.2 * trip
            self._check_reads()
        return p

    def _appended(self, message: AppendResponse) -> None:
        p = self._heard_from(message.sender, message.round)
        if p is None:
            return
        p.sync_us = message.sync_us
        if not message.ok:
            if message.prev < p.match_index or p.snapshot is not None or not message.round:
                return  # older than what is known by now
            back = max(p.match_index + 1, min(message.prev, message.taken + 1))
            if p.probing and back == p.next_index:
                return  # guards against a storm with one that refuses the same again: the next beat asks
            p.next_index, p.probing, p.probe_sent, p.inflight = back, True, False, []
            self._feed(message.sender)
            return
        if p.snapshot is not None and message.taken >= p.snapshot.index:
            p.snapshot = None
        p.probing = False
        p.match_index = max(p.match_index, message.match_index)
        p.next_index = max(p.next_index, message.taken + 1)
        p.inflight = [index for index in p.inflight if index > message.taken]
        self._advance()
        if p.snapshot is None and self.is_leader and message.sender in self.progress:
            self._feed(message.sender)
            if self._heir == message.sender and p.match_index == self.log.last_index:
                self._hand_over(message.sender)

    def _advance(self) -> None:
        """COMMIT: the highest index of the own term that a majority has synced."""
        if not self.is_leader:
            return
        have = sorted(
            (
                self.durable_index if m == self.me else self.progress[m].match_index
                for m in self.members.voters
            ),
            reverse=True,
        )
        index = have[self.members.majority - 1] if have else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            was = self.commit_index
            self._commit(index)
            if was < self._term_start <= index:
                early, self._early_reads = self._early_reads, []
                for number in early:
                    self._read(number)
            if self.me not in self.members.voters and self._views[-1][0] <= index:
                self._note("stepped down", "no member any more")
                self._follow(self.term, None)

    def _commit(self, index: int) -> None:
        entries = tuple(self.log.entry_at(i) for i in range(self.commit_index + 1, index + 1))
        self.commit_index = index
        self._effects.append(ev.Committed(entries))

    # --- appending, as follower -----------------------------------------------------------------------

    def _leader_heard(self, message: AppendRequest | SnapshotChunk) -> None:
        if self.role == "leader":
            raise InvariantViolationError(f"ELECTION: {message.sender} leads term {self.term} too")
        if self.role != "follower" or self.leader != message.sender:
            self._follow(self.term, message.sender)
        self.heard_us = self._now
        if message.election_timeout_us != self._patience_us:
            self._patience_us = message.election_timeout_us
            self._draw()

    def _append(self, message: AppendRequest) -> None:
        self._leader_heard(message)
        prev = message.prev_index
        entries = message.entries
        if prev < self.log.base_index:  # a part of it is in the snapshot
            entries = tuple(e for e in entries if e.index > self.log.base_index)
            if message.prev_index + len(message.entries) < self.log.base_index:
                self._take(message, self.log.base_index)
                return
        elif self.log.term_at(prev) != message.prev_term:
            hint = self.log.last_index
            if prev <= hint:
                hint = max(self.log.first_index_of_term(prev) - 1, self.commit_index)
            self._reply(
                AppendResponse, message.sender, ok=False, prev=prev, taken=hint, match=0, round=message.round,
                sync_us=int(self._sync_us),
            )  # fmt: skip
            return
        fresh, truncate_from = [], 0
        for entry in entries:
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue  # MATCH
            if term is not None:
                if entry.index <= self.commit_index:
                    raise InvariantViolationError(
                        f"COMPLETE: entry {entry.index} was committed and is to change"
                    )
                truncate_from = entry.index
                self._cut(truncate_from)
            self.log.append(entry)
            self._see(entry)
            fresh.append(entry)
        if fresh:
            self._persist(truncate_from=truncate_from, entries=tuple(fresh))
        taken = max(prev + len(message.entries), self.log.base_index)
        self._take(message, taken)
        if min(message.commit_index, taken) > self.commit_index:
            self._commit(min(message.commit_index, taken))

    def _take(self, message: AppendRequest, taken: int) -> None:
        """Say what is here. At once what is synced, and the rest when it is: a slow disk is no silence."""
        match = min(taken, self.durable_index)
        said = {"ok": True, "prev": message.prev_index, "taken": taken, "round": message.round}
        self._reply(AppendResponse, message.sender, **said, match=match, sync_us=int(self._sync_us))
        if match < taken:
            late = AppendResponse(
                self.cluster, self.me, message.sender, self.term, True, message.prev_index, taken, taken,
                message.round, int(self._sync_us),
            )  # fmt: skip
            self._after.append((self._number, late))

    def _cut(self, index: int) -> None:
        self.log.truncate(index)
        self._views = [view for view in self._views if view[0] < index]
        self.durable_index = min(self.durable_index, index - 1)
        for row in self._pending:
            row[1] = min(row[1], index - 1)

    def _see(self, entry: Entry) -> None:
        if entry.kind == "members":
            self._views.append((entry.index, decode_members(entry.data)))

    # --- snapshots ------------------------------------------------------------------------------------

    def _send_piece(self, member: Member, p: Progress, word: bool = False) -> None:
        s = p.snapshot
        assert s is not None
        data = b"" if word else s.data[p.offset : p.offset + self.tuning.snapshot_chunk_bytes]
        if not word:
            p.chunk_sent_us = self._now
        self._send(
            SnapshotChunk(
                self.cluster, self.me, member, self.term, s.index, s.term, s.members, len(s.data), s.check,
                p.offset, data, self._round, self._patience_us,
            )
        )  # fmt: skip

    def _piece(self, message: SnapshotChunk) -> None:
        self._leader_heard(message)
        if message.index <= self.commit_index:
            # the log goes at least as far: say so, and appends go on from there
            said = {"ok": True, "prev": message.index, "taken": message.index, "round": message.round}
            match = min(message.index, self.durable_index)
            self._reply(AppendResponse, message.sender, **said, match=match, sync_us=int(self._sync_us))
            return
        name = (message.index, message.at_term, message.check)
        if self._coming != name:
            self._coming, self._held = name, bytearray()
        if message.offset == len(self._held):
            self._held += message.data
        whole = len(self._held) >= message.total
        if whole and xxhash.xxh3_64_intdigest(bytes(self._held)) != message.check:
            self._note("snapshot", "damaged on its way")
            self._held, whole = bytearray(), False
        if not whole:
            at = len(self._held)
            self._reply(
                SnapshotChunkResponse, message.sender, index=message.index, offset=at, round=message.round
            )
            return
        snapshot = Snapshot(message.index, message.at_term, message.members, bytes(self._held), message.check)
        self._coming, self._held = None, bytearray()
        self._restore(snapshot)
        late = AppendResponse(
            self.cluster, self.me, message.sender, self.term, True, message.index, message.index,
            message.index, message.round, int(self._sync_us),
        )  # fmt: skip
        self._after.append((self._number, late))

    def _restore(self, snapshot: Snapshot) -> None:
        """Take a leader's snapshot in place of the log up to it."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
            self._views = [
                (snapshot.index, snapshot.members),
                *(v for v in self._views if v[0] > snapshot.index),
            ]
            truncate_from = 0
        else:
            truncate_from = self.log.base_index + 1 if self.log.entries else 0
            self.log = Log(snapshot.index, snapshot.term)
            self._views = [(snapshot.index, snapshot.members)]
            self.durable_index = 0
            for row in self._pending:
                row[1] = 0
        self.snapshot, self.commit_index = snapshot, snapshot.index
        self._persist(truncate_from=truncate_from, snapshot=snapshot)
        self._effects.append(ev.InstallSnapshot(snapshot))

    def _piece_taken(self, message: SnapshotChunkResponse) -> None:
        p = self._heard_from(message.sender, message.round)
        if p is None or p.snapshot is None or p.snapshot.index != message.index:
            return
        if message.offset != p.offset:
            p.offset = message.offset
            self._send_piece(message.sender, p)

    def _compact(self, event: ev.SnapshotTaken) -> None:
        """The state machine as of an applied index takes the place of the log up to it."""
        term = self.log.term_at(event.index)
        if term is None or event.index <= self.log.base_index or event.index > self.commit_index:
            return
        members = self.members_at(event.index)
        self.snapshot = Snapshot(event.index, term, members, event.data, event.check)
        self.log.compact(event.index)
        self._views = [(event.index, members), *(view for view in self._views if view[0] > event.index)]
        self._persist(snapshot=self.snapshot)

    # --- reads, transfer, members ---------------------------------------------------------------------

    def _read(self, number: int) -> None:
        if not self.is_leader:
            self._effects.append(ev.ReadAborted(number))
        elif not self.has_committed_own_term:
            self._early_reads.append(number)  # a new leader does not know yet what is committed
        else:
            self._reads.append((self._round + 1, number, self.commit_index))
            if len(self._reads) == 1 or self._reads[-1][0] != self._reads[-2][0]:
                self._broadcast()

    def _check_reads(self) -> None:
        """A round that was sent after the question and heard by a majority: no later leader by then."""
        if not self._reads:
            return
        rounds = [
            self._round if m == self.me else self.progress[m].last_answered_round for m in self.members.voters
        ]
        heard = sorted(rounds, reverse=True)[self.members.majority - 1] if rounds else 0
        while self._reads and self._reads[0][0] <= heard:
            _, number, index = self._reads.popleft()
            self._effects.append(ev.ReadConfirmed(number, index))

    def _lose_reads(self) -> None:
        for _, number, _ in self._reads:
            self._effects.append(ev.ReadAborted(number))
        self._effects += [ev.ReadAborted(number) for number in self._early_reads]
        self._reads.clear()
        self._early_reads = []

    def _transfer(self, to: Member | None) -> None:
        if not self.is_leader:
            return
        if to is None:
            fit = [m for m in self.members.voters if m != self.me and self._heard_lately(m)]
            quick = sorted(
                fit, key=lambda m: (self.progress[m].sync_us // 50_000, -self.progress[m].match_index)
            )
            to = quick[0] if quick else None
        if to is None or to not in self.members.voters or to == self.me:
            return
        self._heir, self._heir_us = to, self._now + 2 * self._patience_us
        if self.progress[to].match_index == self.log.last_index:
            self._hand_over(to)
        else:
            self._feed(to)

    def _hand_over(self, to: Member) -> None:
        self._send(TimeoutNow(self.cluster, self.me, to, self.term))

    def _change(self, event: ev.ChangeMembership) -> None:
        """CHANGE: one member, behind a committed entry of this term and a committed list."""
        old, member = self.members, event.member
        if (
            not self.has_committed_own_term
            or self._views[-1][0] > self.commit_index
            or self._heir is not None
        ):
            return
        voters, learners = list(old.voters), list(old.learners)
        if event.what == "learn" and member not in old.all:
            learners.append(member)
        elif event.what == "promote" and member in learners:
            learners.remove(member)
            voters.append(member)
        elif event.what == "remove" and member in old.all and member != self.me:
            (voters if member in voters else learners).remove(member)
        else:
            return
        new = Membership(tuple(voters), tuple(learners))
        if new.voters:
            self._note("members", f"{event.what} {member.name}/{member.disk}")
            self._extend("members", encode_members(new))
            self._advance()

    # --- the disk -------------------------------------------------------------------------------------

    def _persist(
        self,
        term: bool = False,
        truncate_from: int = 0,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        self._number += 1
        self._pending.append([self._number, self.log.last_index])
        if term:
            self._term_number = self._number
        self._effects.append(
            ev.Persist(
                self._number, self.cluster, self.term, self.voted_for, truncate_from, entries, snapshot
            )
        )

    def _sync_done(self, event: ev.Synced) -> None:
        if event.number <= self._done:
            return
        self._done = event.number
        if event.took_us:
            took = float(event.took_us)
            self._sync_us = took if not self._sync_us else 0.7 * self._sync_us + 0.3 * took
        while self._pending and self._pending[0][0] <= event.number:
            self.durable_index = max(self.durable_index, self._pending.popleft()[1])
        while self._after and self._after[0][0] <= event.number:
            message = self._after.popleft()[1]
            if message.term == self.term or isinstance(message, VoteResponse):
                self._effects.append(ev.SendMessage(message))
        if self.role == "candidate" and self.campaign == "vote":
            self._count_own()
        self._advance()

    # --- sending --------------------------------------------------------------------------------------

    def _reply(self, kind: type[Message], to: Member, **fields: Any) -> None:
        """A promise about the term: not before the term is on the disk."""
        head: dict[str, Any] = {"cluster": self.cluster, "sender": self.me, "to": to, "term": self.term}
        message = kind(**head, **fields)
        if self._done < self._term_number:
            self._after.append((self._term_number, message))
        else:
            self._effects.append(ev.SendMessage(message))

    def _send(self, message: Message, durable: bool = False) -> None:
        """durable: once all that was to be written by now is on the disk."""
        if durable and self._done < self._number:
            self._after.append((self._number, message))
        else:
            self._effects.append(ev.SendMessage(message))

    def _note(self, what: str, detail: str = "") -> None:
        self._effects.append(ev.LogLine(what, self.term, detail))


def encode_members(members: Membership) -> bytes:
    """As an entry carries them."""
    return msgpack.encode(members)


def decode_members(data: bytes) -> Membership:
    """As an entry carries them."""
    return msgpack.decode(data, type=Membership)
