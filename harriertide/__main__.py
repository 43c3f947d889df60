"""harriertide: a broker in front of storage nodes.

Usage:
  harriertide [serve]
  harriertide version
  harriertide counters PID
  harriertide -h | --help

Commands:
  serve     Serve as LB_CONFIG says; the default.
  version   Print the version.
  counters  Ask a running broker to write its counters to its log.
"""

from __future__ import annotations

import os
import signal
import sys

from docopt import DocoptExit, docopt

from harriertide import __version__


def main(arguments: list[str]) -> int:
    """Run one sub-command; its exit status."""
    try:
        given = docopt(__doc__ or "", argv=arguments)
    except DocoptExit as wrong:
        print(wrong, file=sys.stderr)
        return 2
    if given["version"]:
        print(f"harriertide {__version__}")
        return 0
    if given["counters"]:
        try:
            os.kill(int(given["PID"]), signal.SIGUSR1)
        except (ValueError, OSError) as fault:
            print(f"harriertide: PID {given['PID']}: {fault}", file=sys.stderr)
            return 2
        return 0
    from harriertide.net.process import run

    return run(os.environ)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
