"""Which process of a broker is in charge: claims, locks and records under $TMPDIR.

Files of one broker, each written whole by a rename:

- `process-EPOCH`: locked (flock) by a process for as long as it lives. Its epoch is above all before it.
- `takeover`: locked by the one process that takes over just now.
- `claim`: the epoch of the process that wants to take over.
- `state-EPOCH`: the record that the process in charge leaves for that claim.
- `current`: the epoch of the process in charge. Invariant: it is written by the holder of `takeover` alone.

A process in charge acts for at most ACTIVE_LEASE_S after it last saw its own epoch in `current`; the next
waits that long where the last does not answer. So no two act as the one in charge at once, even if one was
stopped.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path

ACTIVE_LEASE_S = 0.25  # a process acts for so long without a look at who is in charge
RENEW_INTERVAL_S = 0.02  # between looks, where nothing holds the loop up
CLAIM_ANSWER_TIMEOUT_S = 2.0  # for the process in charge to answer a claim


def _write_atomically(path: Path, data: bytes) -> None:
    """All of it or nothing."""
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    part.write_bytes(data)
    part.rename(path)


def _read_epoch(path: Path) -> int:
    """The epoch that a file holds; 0 where there is none."""
    try:
        text = path.read_bytes()
    except OSError:
        return 0
    return int(text) if text.isdigit() and len(text) < 12 else 0


def _try_lock(path: Path) -> int | None:
    """A descriptor that holds the file's lock; None where another process does."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


class ProcessRegistry:
    """One process's place among those of its broker. All calls are short and don't wait."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._folder = folder
        self._takeover_lock: int | None = None
        self.epoch, self._lifetime_lock = self._register()

    def _process(self, epoch: int) -> Path:
        return self._folder / f"process-{epoch}"

    def _state(self, epoch: int) -> Path:
        return self._folder / f"state-{epoch}"

    def _epochs(self) -> list[int]:
        names = [path.name.partition("-")[2] for path in self._folder.glob("process-*")]
        return [int(name) for name in names if name.isdigit()]

    def _register(self) -> tuple[int, int]:
        """Take an epoch above all others, its lock held before its file has its name."""
        part = self._folder / f"entering.{os.getpid()}.part"
        lock = _try_lock(part)
        assert lock is not None
        epoch = max([0, *self._epochs(), self.active_epoch(), _read_epoch(self._folder / "claim")])
        while True:
            epoch += 1
            try:
                os.link(part, self._process(epoch))
            except FileExistsError:
                continue
            part.unlink()
            return epoch, lock

    # --- questions -----------------------------------------------------------------------------

    def active_epoch(self) -> int:
        """The epoch of the process in charge; 0: there was none yet."""
        return _read_epoch(self._folder / "current")

    def claimed_epoch(self) -> int:
        """The epoch of a newer process that claims to take over; 0: none."""
        claimed = _read_epoch(self._folder / "claim")
        return claimed if claimed > self.epoch and self.is_alive(claimed) else 0

    def is_alive(self, epoch: int) -> bool:
        """Whether that process lives: it holds its lock."""
        if epoch == self.epoch:
            return True
        try:
            descriptor = os.open(self._process(epoch), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def has_other_processes(self) -> bool:
        """Whether another process of this broker lives."""
        return any(self.is_alive(epoch) for epoch in self._epochs() if epoch != self.epoch)

    # --- a take-over ---------------------------------------------------------------------------

    def try_lock_takeover(self) -> bool:
        """Whether this process is now the only one that takes over; else another is at it."""
        self._takeover_lock = _try_lock(self._folder / "takeover")
        return self._takeover_lock is not None

    def write_claim(self) -> None:
        """Claim."""
        _write_atomically(self._folder / "claim", b"%d" % self.epoch)

    def write_handover_record(self, claimed: int, data: bytes) -> None:
        """As the one in charge: the record for that claim."""
        _write_atomically(self._state(claimed), data)

    def read_handover_record(self) -> bytes | None:
        """The record for this process's claim, if it is there."""
        try:
            return self._state(self.epoch).read_bytes()
        except OSError:
            return None

    def become_active(self) -> None:
        """From here on this process is in charge, and no other."""
        assert self._takeover_lock is not None
        _write_atomically(self._folder / "current", b"%d" % self.epoch)

    def end_takeover(self) -> None:
        """The take-over is over, well or not. Files of processes that are gone go too."""
        for path in (self._folder / "claim", self._state(self.epoch)):
            with suppress(OSError):
                path.unlink()
        newest = max(self._epochs())  # its file stays: no epoch is taken twice
        for epoch in self._epochs():
            if epoch not in (self.epoch, newest) and not self.is_alive(epoch):
                for path in (self._process(epoch), self._state(epoch)):
                    with suppress(OSError):
                        path.unlink()
        if self._takeover_lock is not None:
            os.close(self._takeover_lock)
            self._takeover_lock = None

    def close(self) -> None:
        """This process is about to end."""
        os.close(self._lifetime_lock)
