"""Ask a running daemon to write its counters to its log.

Usage: harriertide counters PID
"""

from __future__ import annotations

import os
import signal

from harriertide.decide.settings import SettingsError


def main(given: dict[str, str]) -> int:
    """As SIGUSR1 does."""
    try:
        os.kill(int(given["PID"]), signal.SIGUSR1)
    except (ValueError, OSError) as fault:
        raise SettingsError(f"PID {given['PID']}: {fault}") from None
    return 0
