"""The registry of a broker's processes on this machine: claims, locks and hand-over records under $TMPDIR.

The files of one broker, each replaced atomically by a rename:

- `process-EPOCH`: locked (flock) by a process for as long as it runs. Each new process gets a higher epoch.
- `takeover`: locked by the process that is taking over.
- `claim`: the epoch of the process that claims to take over.
- `state-EPOCH`: the hand-over record that the active process writes for the process of that epoch.
- `keys-EPOCH`: the keys that the superseded process of that epoch has not finished.
- `current`: the epoch of the active process. Invariant: it is written by the holder of `takeover` alone.

The active process acts for at most ACTIVE_LEASE_S after it last read its own epoch in `current`. A new
process waits that long if the active one does not answer. Two processes therefore never act as the active one
at the same time, even if one was suspended meanwhile (SIGSTOP, a swapped-out machine).

Processes of different releases share these files, so their names and contents do not change.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path

# How long a process may act without checking which process is active. If that process does not answer, the
# next one waits for this time, and clients wait with it.
ACTIVE_LEASE_S = 0.25
_MAX_EPOCH_DIGITS = 11  # longer content means that the file is damaged


def _write_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically: a reader gets the old content or the new content."""
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    part.write_bytes(data)
    part.rename(path)


def _read_epoch(path: Path) -> int:
    """Return the epoch in a file; 0 if the file is missing or damaged."""
    try:
        text = path.read_bytes()
    except OSError:
        return 0
    return int(text) if text.isdigit() and len(text) <= _MAX_EPOCH_DIGITS else 0


def _try_lock(path: Path) -> int | None:
    """Lock a file and return its descriptor; None if another process holds the lock."""
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
    """The entry of one process in its broker's registry. No call blocks.

    :param folder: shared by the processes of the broker; created if it is missing
    :raises OSError: the folder cannot be used
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
        """Register this process under an epoch above all others.

        The file is locked before it gets its final name, so that no other process finds it unlocked and
        considers this process dead.

        :returns: the epoch, and the descriptor that holds the lock
        """
        part = self._folder / f"entering.{os.getpid()}.part"
        lock = _try_lock(part)
        assert lock is not None, "the name has this process's own id"
        return self._rename_to_new_epoch(part), lock

    def _rename_to_new_epoch(self, path: Path) -> int:
        """Rename a process's file to an epoch above all others, and return that epoch."""
        epoch = max([0, *self._registered_epochs(), self.active_epoch(), _read_epoch(self._claim_path)])
        while True:
            epoch += 1
            try:
                os.link(path, self._process_path(epoch))
            except FileExistsError:  # another process registered at the same time
                continue
            path.unlink()
            return epoch

    # --- questions -----------------------------------------------------------------------------

    def active_epoch(self) -> int:
        """The epoch of the active process; 0 if there has been none."""
        return _read_epoch(self._current_path)

    def claimed_epoch(self) -> int:
        """The epoch of a newer, running process that claims to take over; 0 if there is none."""
        claimed = _read_epoch(self._claim_path)
        return claimed if claimed > self.epoch and self.is_alive(claimed) else 0

    def is_alive(self, epoch: int) -> bool:
        """Whether that process is running: it holds its lock, which the system releases when it ends."""
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
        """Whether another process of this broker is running."""
        return any(self.is_alive(epoch) for epoch in self._registered_epochs() if epoch != self.epoch)

    # --- keys that are not finished --------------------------------------------------------------

    def superseded_epochs(self) -> list[int]:
        """The epochs of other running processes that publish their unfinished keys."""
        publishing = [epoch for epoch in self._registered_epochs() if self._open_keys_path(epoch).exists()]
        return [epoch for epoch in publishing if epoch != self.epoch and self.is_alive(epoch)]

    def write_open_keys(self, data: bytes) -> None:
        """Publish the unfinished keys of this process for newer ones."""
        _write_atomically(self._open_keys_path(self.epoch), data)

    def remove_open_keys(self) -> None:
        """Withdraw the published keys of this process."""
        _remove(self._open_keys_path(self.epoch))

    def read_open_keys(self, epoch: int) -> bytes | None:
        """Return the published keys of that process; None if it has published none."""
        try:
            return self._open_keys_path(epoch).read_bytes()
        except OSError:
            return None

    # --- a takeover ----------------------------------------------------------------------------

    def try_lock_takeover(self) -> bool:
        """Lock the takeover; False if another process is taking over."""
        self._takeover_lock = _try_lock(self._takeover_path)
        return self._takeover_lock is not None

    def raise_epoch(self) -> None:
        """Register again above the active process if that one registered later and took over earlier.

        The active process answers only claims of higher epochs.
        """
        if self.active_epoch() > self.epoch:
            self.epoch = self._rename_to_new_epoch(self._process_path(self.epoch))

    def write_claim(self) -> None:
        """Claim to become the active process; the current one answers with a hand-over record."""
        _write_atomically(self._claim_path, b"%d" % self.epoch)

    def write_handover_record(self, claimed_epoch: int, data: bytes) -> None:
        """Answer a claim, as the active process."""
        _write_atomically(self._record_path(claimed_epoch), data)

    def read_handover_record(self) -> bytes | None:
        """Return the answer to this process's claim; None if there is none yet."""
        try:
            return self._record_path(self.epoch).read_bytes()
        except OSError:
            return None

    def become_active(self) -> None:
        """Make this process the active one."""
        assert self._takeover_lock is not None, "only the holder of the takeover lock may write `current`"
        _write_atomically(self._current_path, b"%d" % self.epoch)

    def end_takeover(self) -> None:
        """Unlock the takeover, whether or not it succeeded, and remove the files of ended processes."""
        _remove(self._claim_path)
        _remove(self._record_path(self.epoch))
        self._remove_old_open_keys()
        newest = max(self._registered_epochs())  # its file stays, so that no epoch is used twice
        for epoch in self._registered_epochs():
            if epoch not in (self.epoch, newest) and not self.is_alive(epoch):
                _remove(self._process_path(epoch))
                _remove(self._record_path(epoch))
        if self._takeover_lock is not None:
            os.close(self._takeover_lock)
            self._takeover_lock = None

    def _remove_old_open_keys(self) -> None:
        """Remove the open keys of processes that are not registered any more; others may still be read."""
        registered = self._registered_epochs()
        for path in self._folder.glob("keys-*"):
            if path.name.partition("-")[2] not in map(str, registered):
                _remove(path)

    def close(self) -> None:
        """Release the lock of this process before it ends."""
        os.close(self._lifetime_lock)
