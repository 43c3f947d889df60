"""The order of keys across processes of one broker: which keys another process may still run requests of.

A superseded process finishes the requests that it has taken and admits no further ones of ordered classes. It
keeps a file with the keys that it has not finished yet. The newer process holds requests of these keys until
the file no longer names them, or until the older process has ended and its keys have been quiet for as long
as after an attempt that may still run. Where the file can't be read, every key is held. No hold outlasts the
deadlines of the older process's requests, so a process that is paused for good holds nothing for good.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from msgspec import Struct
from xxhash import xxh3_64_digest

from harriertide.engine.log import log
from harriertide.lifecycle.process_registry import ProcessRegistry

CHECK_INTERVAL_S = 0.01  # of both sides; a held request waits for both
MAGIC = b"harriertide keys 1\n"  # with the version of the form
_HASH_BYTES = 8


class OpenKeysRecord(Struct):
    """What a superseded process has not finished; field names on disk never change.

    :ivar keys: None stands for every key
    :ivar until_s: by then all of the keys are over, by the system's monotonic clock
    """

    keys: frozenset[str] | None
    until_s: float

    @property
    def is_finished(self) -> bool:
        """Whether no key is left."""
        return self.keys is not None and not self.keys


def encode(record: OpenKeysRecord) -> bytes:
    """Write a record."""
    body = msgspec.msgpack.encode(record)
    return MAGIC + xxh3_64_digest(body) + body


def decode(data: bytes) -> OpenKeysRecord | None:
    """Read a record; None if it is damaged or of another form."""
    checksum, body = data[len(MAGIC) : len(MAGIC) + _HASH_BYTES], data[len(MAGIC) + _HASH_BYTES :]
    if not data.startswith(MAGIC) or xxh3_64_digest(body) != checksum:
        return None
    try:
        return msgspec.msgpack.decode(body, type=OpenKeysRecord)
    except msgspec.MsgspecError:
        return None


class OpenKeysPublisher:
    """Publishes the unfinished keys of a superseded process for newer processes.

    :param read_open_keys: the keys as they are now
    """

    def __init__(self, registry: ProcessRegistry, read_open_keys: Callable[[], OpenKeysRecord]) -> None:
        self._registry = registry
        self._read_open_keys = read_open_keys
        self._published: OpenKeysRecord | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Publish the keys now, and each change until none is left."""
        self.stop()
        self._publish()

    def stop(self) -> None:
        """Publish no more; what was published last stays."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def withdraw(self) -> None:
        """Withdraw the published keys, as this process admits requests again."""
        self.stop()
        self._published = None
        self._registry.remove_open_keys()

    def publish_last(self) -> None:
        """Publish what is left as this process ends, so that a later one need not hold every key."""
        self.start()
        self.stop()

    def _publish(self) -> None:
        record = self._read_open_keys()
        try:
            if record != self._published:
                self._registry.write_open_keys(encode(record))
                self._published = record
        except OSError as error:  # the newer process holds the keys of the last record meanwhile
            log("open keys could not be written", reason=str(error))
        if record != self._published or not record.is_finished:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._publish)


class OpenKeysWatcher:
    """Watches the unfinished keys of other processes, in a process that has taken over.

    :param longest_request_s: returns the longest deadline of an ordered class; 0: no class is ordered
    :param quiet_s: returns how long a key rests after an attempt that may still run
    :param on_hold: called with what is to be held, whenever that changes
    """

    def __init__(
        self,
        registry: ProcessRegistry,
        longest_request_s: Callable[[], float],
        quiet_s: Callable[[], float],
        on_hold: Callable[[OpenKeysRecord], None],
    ) -> None:
        self._registry = registry
        self._longest_request_s = longest_request_s
        self._quiet_s = quiet_s
        self._on_hold = on_hold
        self._loop = asyncio.get_running_loop()
        self._open_at: dict[int, OpenKeysRecord] = {}  # by the epoch of the process
        self._ended: set[int] = set()  # epochs of these that have ended
        self.held = OpenKeysRecord(frozenset(), 0.0)  # the union, as last reported
        self._timer: asyncio.TimerHandle | None = None

    def hold_for(self, epochs: list[int]) -> None:
        """Hold the unfinished keys of these processes from now on; the processes may have ended."""
        if not self._longest_request_s():
            return
        until_s = self._loop.time() + self._longest_request_s() + self._quiet_s()
        for epoch in epochs:
            self._open_at[epoch] = OpenKeysRecord(None, until_s)
        self._ended.difference_update(epochs)
        self.stop()
        self._check()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        for epoch in list(self._open_at):
            if epoch not in self._ended:
                self._update(epoch)
            record = self._open_at[epoch]
            if record.is_finished or record.until_s <= self._loop.time():
                del self._open_at[epoch]
        self._report()
        if self._open_at:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _update(self, epoch: int) -> None:
        """Read the unfinished keys of one process; once it has ended, hold them for the quiet period."""
        is_alive = self._registry.is_alive(epoch)
        data = self._registry.read_open_keys(epoch)  # after that, to read what it wrote as it ended
        record = decode(data) if data is not None else None
        record = record or self._open_at[epoch]
        if not is_alive:
            self._ended.add(epoch)
            record.until_s = min(record.until_s, self._loop.time() + self._quiet_s())
        self._open_at[epoch] = record

    def _report(self) -> None:
        """Report the union of all held keys, if it has changed."""
        records = self._open_at.values()
        known = [record.keys for record in records if record.keys is not None]
        keys = frozenset[str]().union(*known) if len(known) == len(records) else None
        held = OpenKeysRecord(keys, max((record.until_s for record in records), default=0.0))
        if held != self.held:
            self.held = held
            self._on_hold(held)
