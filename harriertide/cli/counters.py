"""Ask a running daemon to write its counters to its log.

Usage: harriertide counters PID
"""

from __future__ import annotations

import os
import signal

from harriertide.decide.settings import SettingsError


def main(given: dict[str, str]) -> int:
    """Send SIGUSR1 to the process.

    :returns: exit status 0; the counters are in the daemon's log, not here.
    :raises SettingsError: where there is no such process, or it is another user's.
    """
    try:
        os.kill(int(given["PID"]), signal.SIGUSR1)
    except (ValueError, OSError) as error:
        raise SettingsError(f"PID {given['PID']}: {error}") from None
    return 0
