"""One broker among those that agree, on an event loop: disk, wire, timers and calls. It decides nothing."""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

import msgspec
import xxhash

from harriertide.consensus import events as ev
from harriertide.consensus.applied_state import AppliedState, StateMachine
from harriertide.consensus.disk_format import DamagedError
from harriertide.consensus.events import Tuning
from harriertide.consensus.fanout import (
    REPORT_INTERVAL_US,
    UPDATE_BYTES,
    UPDATE_ENTRY_COUNT,
    FanoutTree,
    GrantRound,
)
from harriertide.consensus.fanout_messages import SubtreeReport, TreeUpdate
from harriertide.consensus.follower import Follower
from harriertide.consensus.messages import Member, Message, Proposal
from harriertide.consensus.pending_requests import RETRY_INTERVAL_US
from harriertide.consensus.replica import (
    CallCompleted,
    CallExpired,
    Effect,
    EntryApplied,
    ReadCompleted,
    Replica,
)
from harriertide.consensus.roster import Founding, Hello, Roster
from harriertide.consensus.store import Store, StoreError, set_aside
from harriertide.consensus.transport import Transport
from harriertide.engine.clock import until
from harriertide.engine.log import log

BEAT_S = 0.025
Wire = Message | Hello | Founding | SubtreeReport | TreeUpdate
_wire = msgspec.msgpack.Decoder(Wire)
_encode = msgspec.msgpack.Encoder().encode


class Disk(Protocol):
    """A store, or what stands for one."""

    disk: str
    restored: ev.RestoredState

    def write(self, works: list[ev.Persist]) -> None:
        """With one sync; StoreError is final."""

    def close(self) -> None:
        """Let go."""


class Carrier(Protocol):
    """What carries payloads to others: a transport, or what stands for one."""

    counts: Counter[str]

    async def listen(self, address: tuple[str, int]) -> int:
        """Hear others there."""

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """It may be lost."""

    async def close(self) -> None:
        """Let go."""


@dataclass(frozen=True, slots=True)
class Outside:
    """What a broker stands on: disk and wire, or a laboratory's. write: carries out a store's write."""

    disk: Callable[[Path], Disk] = Store.open
    carrier: Callable[[Callable[[bytes], bool]], Carrier] = Transport
    write: Callable[[Callable[[], None]], Awaitable[None]] = asyncio.to_thread
    random: Random = field(default_factory=SystemRandom)


class CallError(Exception):
    """A call that was not agreed on in time: it may be later, or never."""


class Events:
    """A log for judges: a line each, whole, as it happens."""

    def __init__(self, path: str, now: Callable[[], float]) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if path else -1
        self._now = now

    def say(self, event: str, **fields: Any) -> None:
        """One more."""
        if self._file >= 0:
            row = {"event": event, "at": round(self._now(), 6), **fields}
            os.write(self._file, (json.dumps(row) + "\n").encode())

    def close(self) -> None:
        """No more."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


class Broker:
    """A voter with its disk, or a follower without. own: what this broker reports of itself."""

    def __init__(
        self,
        name: str,
        brokers: dict[str, tuple[str, int]],
        voters: tuple[str, ...],
        folder: Path,
        machine: StateMachine,
        lease_us: int,
        events: Events,
        own: Callable[[Broker], SubtreeReport],
        applied: Callable[[], None],
        outside: Outside,
        tuning: Tuning | None = None,
    ) -> None:
        self.name, self.addresses, self.voters = name, brokers, voters
        self.counts: Counter[str] = Counter()
        self._outside = outside
        self.life = outside.random.getrandbits(31) | 1
        self.events, self._own, self._applied = events, own, applied
        self._client, self._serial = f"{name}-{outside.random.getrandbits(48):x}", 0
        self._numbers = 0
        self._waiting: dict[int, asyncio.Future[bytes]] = {}
        self._transport = outside.carrier(self._hear)
        self._works: list[ev.Persist] = []
        self._work = asyncio.Event()
        self._writing = asyncio.Lock()  # held while the store's thread is at work
        self._tasks: list[asyncio.Task[None]] = []
        self._rounds: dict[int, GrantRound] = {}
        self._folder = folder
        self.halted = ""
        self.waits: dict[str, list[str]] = {}  # as the leader told it last
        first = outside.random.getrandbits(48)
        self.fan = FanoutTree(name, tuple(brokers), voters, lease_us, self.now_us(), first)
        self.replica: Replica | None = None
        self.follower: Follower | None = None
        self._calls: dict[int, tuple[Proposal, int, float]] = {}  # as a follower: again when, until when
        self._snapshot: tuple[int, bytes, int] = (0, b"", 0)  # for children: index, data, checksum
        if name not in voters:
            self.follower = Follower(AppliedState(machine))
            return
        try:
            self.store = outside.disk(folder)
        except DamagedError as fault:
            aside = set_aside(folder)
            log("store damaged, kept aside; joins as a new member", reason=str(fault), aside=str(aside))
            events.say("damaged", reason=str(fault))
            self.store = outside.disk(folder)
        me = Member(name, self.store.disk)
        random = Random(outside.random.getrandbits(64))
        self.replica = Replica(me, machine, tuning or Tuning(), self.store.restored, random, self.now_us())
        self.roster = Roster(me, voters)
        self._found: Founding | None = None

    # --- questions ------------------------------------------------------------------------------------

    def now_us(self) -> int:
        """Of the loop's clock, which never goes back and goes on while the process is stopped."""
        return round(asyncio.get_running_loop().time() * 1_000_000)

    @property
    def leads(self) -> bool:
        """Whether this broker leads, as far as it knows."""
        return self.replica is not None and self.replica.node.is_leader

    @property
    def led(self) -> int:
        """The term in which it leads, 0 where it does not."""
        return self.replica.node.term if self.replica is not None and self.replica.node.is_leader else 0

    @property
    def leader(self) -> str:
        """Whom it takes for the leader; "" for nobody."""
        if self.replica is not None:
            leader = self.replica.node.leader
            return leader.name if leader else ""
        return self.fan.leader

    @property
    def course(self) -> AppliedState:
        """The state as applied here."""
        if self.replica is not None:
            return self.replica.applied_state
        assert self.follower is not None
        return self.follower.applied_state

    # --- life -----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and take part."""
        await self._transport.listen(self.addresses[self.name])
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._beats())]
        if self.replica is not None:
            self._tasks.append(loop.create_task(self._writes()))
            disk, cluster = self.replica.node.me.disk, self.replica.node.cluster
            self.events.say("starts", disk=disk, cluster=cluster, life=self.life)
        else:
            self.events.say("starts", disk="", cluster="", life=self.life)

    def hand_over(self) -> None:
        """To the best of the others, if this broker leads."""
        if self.replica is not None and self.leads:
            self._do(self.replica.step(self.now_us(), ev.TransferLeadership()))

    async def close(self) -> None:
        """Hand over, and let go of all."""
        if self.leads:
            self.hand_over()
            await until(asyncio.get_running_loop().time() + 0.1)
        async with self._writing:  # guards against a file that is closed under a write
            for task in self._tasks:
                task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._transport.close()
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(CallError("this broker ends"))
        if self.replica is not None:
            self.store.close()
        self.events.close()

    async def _beats(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._beat()
            await until(loop.time() + BEAT_S)

    def _beat(self) -> None:
        now = self.now_us()
        if self.replica is not None:
            if self.replica.next_tick_us <= now:
                self._do(self.replica.step(now, ev.Tick()))
            self._roster(now)
            self.fan.leader = self.leader
        else:
            self._again(now)
        if self.fan.is_report_due(now):
            self._report(now)
        self._feed(now)
        self.fan.activate_lease(self.course.applied)

    def _roster(self, now: int) -> None:
        assert self.replica is not None
        node = self.replica.node
        hello = self.roster.next_hello(now, node)
        if hello is not None:
            for name in self.voters:
                if name != self.name:
                    self._send(name, hello)
        if not node.cluster and node.role != "halted":
            found = self.roster.propose_founding(now, f"{self._outside.random.getrandbits(48):x}")
            if found is not None and self.roster.accepts_founding(found, node):
                self._found = found
                self._do(node.found_cluster(now, found.cluster, found.members))
        elif (
            self._found is not None
            and now - self._hello_us > 300_000
            and not node.is_leader
            and not node.leader
        ):
            self._hello_us = now
            for name in self.voters:
                if name != self.name:
                    self._send(name, self._found)
        step = self.roster.next_change(now, node)
        if step is not None:
            self._do(self.replica.step(now, step))

    _hello_us = 0

    # --- the wire -------------------------------------------------------------------------------------

    def _send(self, name: str, message: Wire) -> None:
        address = self.addresses.get(name)
        if address is not None:
            self._transport.send(name, address, _encode(message))

    def _hear(self, payload: bytes) -> bool:
        try:
            message = _wire.decode(payload)
        except msgspec.MsgspecError:
            return False
        now = self.now_us()
        if isinstance(message, SubtreeReport):
            self.fan.on_report(now, message)
        elif isinstance(message, TreeUpdate):
            self._fed(now, message)
        elif self.replica is None:
            self.counts["not_for_a_follower"] += 1
        elif isinstance(message, Hello):
            self.roster.on_hello(now, message)
            self._tell_found(message)
        elif isinstance(message, Founding):
            if self.roster.accepts_founding(message, self.replica.node):
                self._do(self.replica.node.found_cluster(now, message.cluster, message.members))
        else:
            node = self.replica.node
            if isinstance(message, Proposal) and not message.to.name:  # a follower's, who knows no disks
                message = msgspec.structs.replace(message, to=node.me, cluster=node.cluster)
            self._do(self.replica.step(now, ev.MessageReceived(message)))
        return True

    def _tell_found(self, hello: Hello) -> None:
        """One that stands there on a fresh disk which the first list names has missed the founding."""
        if self._found is not None and not hello.cluster and hello.sender in self._found.members.voters:
            self._send(hello.sender.name, self._found)

    # --- reports, leases, feeds -----------------------------------------------------------------------

    def _report(self, now: int) -> None:
        if self.leads:
            assert self.replica is not None
            self._numbers += 1
            self._rounds = {n: r for n, r in self._rounds.items() if n > self._numbers - 32}
            self._rounds[self._numbers] = self.fan.start_grant_round(now)
            self._do(self.replica.query(now, self._numbers, now + 10 * REPORT_INTERVAL_US))
            return
        said = self.fan.build_report(now, self._own(self))
        if said is not None:
            self._send(*said)

    def _fed(self, now: int, feed: TreeUpdate) -> None:
        self.fan.on_update(now, feed)
        if feed.granted and not self.leads:
            self.waits = feed.waits
        if self.follower is not None:
            was = self.follower.applied_state.applied
            for entry, answer, fresh, digest in self.follower.apply_update(feed):
                self.events.say("applied", index=entry.index, digest=digest, fresh=fresh)
                for number, (proposal, _, _) in list(self._calls.items()):
                    if (proposal.client, proposal.serial) == (entry.client, entry.serial):
                        del self._calls[number]
                        self._answer(number, answer)
            if self.follower.applied_state.applied != was:
                self._applied()
                self._feed(now)
        self.fan.activate_lease(self.course.applied)

    def _feed(self, now: int) -> None:
        """Grants, and what children lack."""
        for name, number, index in self.fan.take_pending_grants(now):
            self._send(name, TreeUpdate(self.name, self.leader, number, index, waits=self.waits))
        applied = self.course.applied
        for name, child in self.fan.children.items():
            if name in self.voters:
                continue
            child.sent_index = max(child.sent_index, child.report.applied)
            while child.sent_index < applied:
                entries = self._after(child.sent_index)
                if entries is None:
                    self._feed_snapshot(name)
                    child.sent_index = max(self._snapshot[0], child.sent_index + 1)
                else:
                    if not entries:
                        break
                    said = TreeUpdate(
                        self.name, self.leader, child.sent_grant, child.grant_index, child.sent_index, entries
                    )
                    self._send(name, said)
                    child.sent_index = entries[-1].index
                child.sent_us = now

    def _after(self, index: int) -> tuple[Any, ...] | None:
        if self.follower is not None:
            return self.follower.entries_after(index, UPDATE_ENTRY_COUNT)
        assert self.replica is not None
        node = self.replica.node
        if index < node.log.base_index:
            return None
        found = node.log.entries_after(index, UPDATE_ENTRY_COUNT, UPDATE_BYTES)
        return tuple(entry for entry in found if entry.index <= self.replica.applied)

    def _feed_snapshot(self, name: str) -> None:
        if self._snapshot[0] < self.course.applied - UPDATE_ENTRY_COUNT or not self._snapshot[0]:
            data = self.course.dump()
            self._snapshot = self.course.applied, data, xxhash.xxh3_64_intdigest(data)
        index, data, check = self._snapshot
        self.counts["snapshots_out"] += 1
        for offset in range(0, max(1, len(data)), UPDATE_BYTES):
            piece = data[offset : offset + UPDATE_BYTES]
            self._send(
                name, TreeUpdate(self.name, self.leader, 0, 0, 0, (), index, len(data), check, offset, piece)
            )

    # --- calls ----------------------------------------------------------------------------------------

    async def call(self, data: bytes, within_s: float) -> bytes:
        """Agree on a command: its answer. CallError where that is not known in time."""
        now = self.now_us()
        self._numbers += 1
        self._serial += 1
        number, limit = self._numbers, now + int(within_s * 1_000_000)
        waiting = self._waiting[number] = asyncio.get_running_loop().create_future()
        try:
            if self.replica is not None:
                self._do(self.replica.call(now, number, self._client, self._serial, data, limit))
            else:
                me, nobody = Member(self.name, ""), Member("", "")
                proposal = Proposal("", me, nobody, 0, self._client, self._serial, data)
                self._calls[number] = (proposal, now, limit)
                self._again(now)
            async with asyncio.timeout(within_s + 0.5):
                answer: bytes = await waiting
                return answer
        except TimeoutError:
            raise CallError("not agreed on in time; it may be later, or never") from None
        finally:
            self._waiting.pop(number, None)
            self._calls.pop(number, None)

    def _again(self, now: int) -> None:
        """As a follower: calls go to the leader, and again after a while."""
        for number, (proposal, again, limit) in list(self._calls.items()):
            if now >= limit:
                del self._calls[number]
                self._fail(number, "not agreed on in time; it may be later, or never")
            elif now >= again and self.fan.leader:
                self._calls[number] = (proposal, now + RETRY_INTERVAL_US, limit)
                self._send(self.fan.leader, proposal)

    async def read(self, within_s: float) -> bool:
        """Wait until the state holds all that was agreed on by now; False where that can't be known."""
        if self.replica is None:
            return self.fan.lease_end_us > self.now_us()
        self._numbers += 1
        number = self._numbers
        waiting = self._waiting[number] = asyncio.get_running_loop().create_future()
        try:
            now = self.now_us()
            self._do(self.replica.query(now, number, now + int(within_s * 1_000_000)))
            async with asyncio.timeout(within_s + 0.5):
                await waiting
            return True
        except (TimeoutError, CallError):
            return False
        finally:
            self._waiting.pop(number, None)

    def _answer(self, number: int, answer: bytes) -> None:
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _fail(self, number: int, why: str) -> None:
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_exception(CallError(why))

    # --- effects --------------------------------------------------------------------------------------

    def _do(self, effects: list[Any] | list[Effect]) -> None:
        changed = False
        for effect in effects:
            if isinstance(effect, ev.SendMessage):
                self._send(effect.message.to.name, effect.message)
            elif isinstance(effect, ev.Persist):
                self._works.append(effect)
                self._work.set()
            elif isinstance(effect, EntryApplied):
                changed = True
                self.events.say("applied", index=effect.index, digest=effect.digest, fresh=effect.fresh)
            elif isinstance(effect, CallCompleted):
                self._answer(effect.number, effect.answer)
            elif isinstance(effect, ReadCompleted):
                self._readable(effect.number)
            elif isinstance(effect, CallExpired):
                self._rounds.pop(effect.number, None)
                self._fail(effect.number, "not agreed on in time; it may be later, or never")
            elif isinstance(effect, ev.LogLine):
                self._noted(effect)
        if changed:
            self.fan.activate_lease(self.course.applied)
            self._applied()
            self._feed(self.now_us())

    def _readable(self, number: int) -> None:
        asked = self._rounds.pop(number, None)
        if asked is None:
            self._answer(number, b"")
            return
        if self.leads:  # the own round: all reports of then are granted
            self.fan.confirm_round(asked, self.course.applied)
            self.granted(asked)
            self._feed(self.now_us())

    granted: Callable[[GrantRound], None] = staticmethod(lambda asked: None)

    def _noted(self, effect: ev.LogLine) -> None:
        self.counts[effect.event.replace(" ", "_")] += 1
        self.events.say("noted", what=effect.event, term=effect.term, detail=effect.detail)
        if effect.event in ("leads", "halted", "broken", "hands over", "stepped down", "members"):
            log("agreement", what=effect.event, term=effect.term, detail=effect.detail)
        if effect.event in ("halted", "broken"):
            self.halted = effect.detail

    async def _writes(self) -> None:
        """Group commit: what came while the disk was busy goes with the next sync."""
        loop = asyncio.get_running_loop()
        assert self.replica is not None
        while True:
            await self._work.wait()
            self._work.clear()
            works, self._works = self._works, []
            if not works:
                continue
            begun = loop.time()
            try:
                async with self._writing:
                    await self._outside.write(partial(self.store.write, works))
            except StoreError as fault:
                log(
                    "the disk refused; this broker is out of the agreement until it is started again",
                    reason=str(fault),
                )
                self.events.say("sync failed", reason=str(fault))
                self._do(self.replica.step(self.now_us(), ev.SyncFailed()))
                return
            took = max(1, round((loop.time() - begun) * 1_000_000))
            self._do(self.replica.step(self.now_us(), ev.Synced(works[-1].number, took)))

    def counters(self) -> dict[str, Counter[str]]:
        """By part."""
        return {"agreement": self.counts, "agreement_wire": self._transport.counts}
