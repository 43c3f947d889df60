"""harriertide: a broker in front of storage nodes.

Usage:
  harriertide [serve] [--objects FILE]
  harriertide version
  harriertide plan FILE -o PLAN
  harriertide apply PLAN
  harriertide counters PID
  harriertide -h | --help

Commands:
  serve     Serve as LB_CONFIG says, and the object front as FILE says; the default.
  version   Print the version.
  plan      Print how FILE differs from the running daemon, and write that to PLAN; changes nothing.
  apply     Do just what PLAN says; refused if the daemon's state has moved since.
  counters  Ask a running daemon to write its counters to its log.

Options:
  --objects FILE  The operator's file of the object front.
  -o PLAN         Where to write the plan.
  -h --help       Show this.
"""

from __future__ import annotations

import gc
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
    # plan and apply need not load the daemon, nor the daemon them
    if given["plan"] or given["apply"]:
        from harriertide.config import commands

        return commands.plan(given["FILE"], given["-o"]) if given["plan"] else commands.apply(given["PLAN"])
    _start_lean()
    from harriertide.net.process import run

    return run(os.environ, given["--objects"])


def _start_lean() -> None:
    """Leave out of the start what takes a third of it and is of no use here.

    A broker that restarts is missed for as long. aiohttp reads the system's certificates as it is imported,
    but no TLS is spoken; the collector of cycles looks through modules as they come, which stay.
    """
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()  # until it serves


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
