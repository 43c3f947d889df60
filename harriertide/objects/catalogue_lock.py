"""The lock on a catalogue: one process at a time owns it.

Who opens a catalogue takes blobs that are being written for left over by a process that has ended, and has
them deleted. While another process still writes them, and may answer 200 for them, it must not be opened.

The lock is that of the system on a file beside the catalogue (flock), which ends with its process, however
that ends. The file stays. It names the owner by process ID, for error messages only.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
from contextlib import suppress
from pathlib import Path

from harriertide.config.errors import OperatorFileError
from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log

# How long a start waits for the owner: above the time that a process takes to end once it is told to stop.
MAX_OWNER_WAIT_S = 6.0
OWNER_POLL_S = 0.05  # between attempts to lock meanwhile
_MAX_PROCESS_ID_BYTES = 20


class CatalogueInUseError(OperatorFileError):
    """Another process owns the catalogue.

    :ivar owner: its process ID; empty if it is not known
    """

    def __init__(self, path: str, owner: str) -> None:
        super().__init__(f"catalogue: {path} is in use by process {owner or 'unknown'}")
        self.owner = owner


class CatalogueLock:
    """The lock of one process on a catalogue, held until `release` or the end of the process.

    :param path: of the catalogue
    :raises CatalogueInUseError: another process holds the lock
    :raises OperatorFileError: the file beside the catalogue cannot be locked
    """

    def __init__(self, path: str) -> None:
        self._lock_path = Path(f"{path}.lock")
        try:
            self._descriptor = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise self._unusable(error) from None
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            owner = self._read_owner()
            os.close(self._descriptor)
            raise CatalogueInUseError(path, owner) from None
        except OSError as error:
            os.close(self._descriptor)
            raise self._unusable(error) from None
        self._write_owner()

    def release(self) -> None:
        """Release the lock; the file stays, as another process may be about to lock it."""
        os.close(self._descriptor)

    def _unusable(self, error: OSError) -> OperatorFileError:
        return OperatorFileError(f"catalogue: {self._lock_path} cannot be locked: {error.strerror}")

    def _read_owner(self) -> str:
        with suppress(OSError):
            text = os.pread(self._descriptor, _MAX_PROCESS_ID_BYTES, 0).decode("ascii", "replace").strip()
            if text.isdigit():
                return text
        return ""

    def _write_owner(self) -> None:
        with suppress(OSError):  # a full disk: the name of the owner is for error messages only
            os.ftruncate(self._descriptor, 0)
            os.pwrite(self._descriptor, b"%d\n" % os.getpid(), 0)


async def wait_for_owner(path: str) -> None:
    """Wait while another process owns a catalogue, as one that was told to stop does until it has ended.

    :raises CatalogueInUseError: it is still owned after MAX_OWNER_WAIT_S
    :raises OperatorFileError: the file beside the catalogue cannot be locked
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + MAX_OWNER_WAIT_S
    is_logged = False
    while True:
        try:
            CatalogueLock(path).release()
            return
        except CatalogueInUseError as error:
            if loop.time() >= deadline:
                raise
            if not is_logged:
                log("waits for the owner of the catalogue", path=path, owner=error.owner)
                is_logged = True
        await sleep_until(min(deadline, loop.time() + OWNER_POLL_S))
