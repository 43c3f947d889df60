"""Print the version.

Usage: harriertide version
"""

from __future__ import annotations

from harriertide import __version__


def main(given: dict[str, object]) -> int:
    """Print one line.

    :returns: exit status 0.
    """
    print(f"harriertide {__version__}")
    return 0
