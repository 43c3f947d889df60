"""The processes of one broker on this machine: claims, locks and hand-over records under $TMPDIR.

Files of one broker, each written complete by a rename:

- `process-EPOCH`: locked (flock) by a process for as long as it lives. Its epoch is above all before it.
- `takeover`: locked by the one process that takes over just now.
- `claim`: the epoch of the process that wants to take over.
- `state-EPOCH`: the record that the active process leaves for the process of that epoch.
- `keys-EPOCH`: the keys that the process of that epoch, which is active no more, has not finished.
- `current`: the epoch of the active process. Invariant: it is written by the holder of `takeover` alone.

The active process acts for at most ACTIVE_LEASE_S after it last saw its own epoch in `current`; the next one
waits that long where the last does not answer. So no two act as the active one at once, even if one was
stopped (SIGSTOP, a swapped-out machine) in the middle.

Processes of different releases meet here: names and contents of the files do not change.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path

# For so long a process acts without a look who is active. Short: where the process before does not answer,
# the next one waits for it, and clients wait with it.
ACTIVE_LEASE_S = 0.25
_MAX_EPOCH_DIGITS = 11  # what is longer is no epoch but a file that was damaged


def _write_atomically(path: Path, data: bytes) -> None:
    """Write all of it or nothing: a reader sees the file before or the file after."""
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    part.write_bytes(data)
    part.rename(path)


def _read_epoch(path: Path) -> int:
    """The epoch that a file holds; 0 where there is none."""
    try:
        text = path.read_bytes()
    except OSError:
        return 0
    return int(text) if text.isdigit() and len(text) <= _MAX_EPOCH_DIGITS else 0


def _try_lock(path: Path) -> int | None:
    """A descriptor that holds the file's lock; None where another process does."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def _remove(path: Path) -> None:
    with suppress(OSError):
        path.unlink()


class ProcessRegistry:
    """One process's place among those of its broker. All calls are short and wait for nobody.

    :param folder: where the processes of the broker meet; made if need be.
    :raises OSError: where the folder can't be used.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._folder = folder
        self._takeover_path = folder / "takeover"
        self._claim_path = folder / "claim"
        self._current_path = folder / "current"
        self._takeover_lock: int | None = None
        self.epoch, self._lifetime_lock = self._register()

    def _process_path(self, epoch: int) -> Path:
        return self._folder / f"process-{epoch}"

    def _open_keys_path(self, epoch: int) -> Path:
        return self._folder / f"keys-{epoch}"

    def _record_path(self, epoch: int) -> Path:
        return self._folder / f"state-{epoch}"

    def _registered_epochs(self) -> list[int]:
        names = [path.name.partition("-")[2] for path in self._folder.glob("process-*")]
        return [int(name) for name in names if name.isdigit()]

    def _register(self) -> tuple[int, int]:
        """Take an epoch above all others.

        The file is locked before it has its name: guards against a process that is taken for dead between
        the two.

        :returns: the epoch, and the descriptor that holds the lock.
        """
        part = self._folder / f"entering.{os.getpid()}.part"
        lock = _try_lock(part)
        assert lock is not None, "the name has this process's own id"
        return self._rename_to_new_epoch(part), lock

    def _rename_to_new_epoch(self, path: Path) -> int:
        """Give a process's file the name of an epoch above all others, and return that."""
        epoch = max([0, *self._registered_epochs(), self.active_epoch(), _read_epoch(self._claim_path)])
        while True:
            epoch += 1
            try:
                os.link(path, self._process_path(epoch))
            except FileExistsError:  # another process entered at the same moment
                continue
            path.unlink()
            return epoch

    # --- questions -----------------------------------------------------------------------------

    def active_epoch(self) -> int:
        """The epoch of the active process; 0: there was none yet."""
        return _read_epoch(self._current_path)

    def claimed_epoch(self) -> int:
        """The epoch of a newer process that lives and claims to take over; 0: none."""
        claimed = _read_epoch(self._claim_path)
        return claimed if claimed > self.epoch and self.is_alive(claimed) else 0

    def is_alive(self, epoch: int) -> bool:
        """Whether that process lives: it holds its lock, which the system ends with the process."""
        if epoch == self.epoch:
            return True
        try:
            descriptor = os.open(self._process_path(epoch), os.O_RDONLY | os.O_CLOEXEC)
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
        return any(self.is_alive(epoch) for epoch in self._registered_epochs() if epoch != self.epoch)

    # --- keys that are not finished --------------------------------------------------------------

    def superseded_epochs(self) -> list[int]:
        """The epochs of other processes that live and tell what they have not finished."""
        told = [epoch for epoch in self._registered_epochs() if self._open_keys_path(epoch).exists()]
        return [epoch for epoch in told if epoch != self.epoch and self.is_alive(epoch)]

    def write_open_keys(self, data: bytes) -> None:
        """Tell newer processes what this one has not finished."""
        _write_atomically(self._open_keys_path(self.epoch), data)

    def remove_open_keys(self) -> None:
        """Take back what newer processes were told."""
        _remove(self._open_keys_path(self.epoch))

    def read_open_keys(self, epoch: int) -> bytes | None:
        """What that process has not finished; None where it has not told."""
        try:
            return self._open_keys_path(epoch).read_bytes()
        except OSError:
            return None

    # --- a takeover ----------------------------------------------------------------------------

    def try_lock_takeover(self) -> bool:
        """Whether this process is now the only one that takes over; if not, another is at it."""
        self._takeover_lock = _try_lock(self._takeover_path)
        return self._takeover_lock is not None

    def raise_epoch(self) -> None:
        """Take a new epoch above that of the active process, which entered later and took over earlier.

        Guards against a claim that the active process disregards, as it answers later epochs only.
        """
        if self.active_epoch() > self.epoch:
            self.epoch = self._rename_to_new_epoch(self._process_path(self.epoch))

    def write_claim(self) -> None:
        """Claim to be the active process: the present one answers with a record."""
        _write_atomically(self._claim_path, b"%d" % self.epoch)

    def write_handover_record(self, claimed_epoch: int, data: bytes) -> None:
        """As the active process: answer a claim."""
        _write_atomically(self._record_path(claimed_epoch), data)

    def read_handover_record(self) -> bytes | None:
        """The answer to this process's claim; None where there is none yet."""
        try:
            return self._record_path(self.epoch).read_bytes()
        except OSError:
            return None

    def become_active(self) -> None:
        """From here on this process is the active one, and no other is."""
        assert self._takeover_lock is not None, "only the holder of the takeover lock may write `current`"
        _write_atomically(self._current_path, b"%d" % self.epoch)

    def end_takeover(self) -> None:
        """The takeover is over, well or not. Files of processes that are gone are removed."""
        _remove(self._claim_path)
        _remove(self._record_path(self.epoch))
        self._remove_old_open_keys()
        newest = max(self._registered_epochs())  # its file stays: no epoch is taken twice
        for epoch in self._registered_epochs():
            if epoch not in (self.epoch, newest) and not self.is_alive(epoch):
                _remove(self._process_path(epoch))
                _remove(self._record_path(epoch))
        if self._takeover_lock is not None:
            os.close(self._takeover_lock)
            self._takeover_lock = None

    def _remove_old_open_keys(self) -> None:
        """Remove those of processes that had ended by an earlier takeover; later ones may still be read."""
        registered = self._registered_epochs()
        for path in self._folder.glob("keys-*"):
            if path.name.partition("-")[2] not in map(str, registered):
                _remove(path)

    def close(self) -> None:
        """Release the lock of this process, which is about to end."""
        os.close(self._lifetime_lock)
