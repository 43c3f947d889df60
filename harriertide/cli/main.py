"""harriertide: a broker in front of storage nodes.

Usage: harriertide [COMMAND [ARGUMENT ...]]

Commands (harriertide COMMAND --help tells more):
{commands}

Without a command it serves.
"""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable
from importlib import import_module

from docopt import DocoptExit, DocoptLanguageError, docopt

from harriertide.decide.settings import SettingsError

# A command's module has a page for docopt as its docstring and a main(given) that returns an exit status.
COMMANDS = {
    "serve": "serve as LB_CONFIG says, and the object front as an operator's file says",
    "plan": "how an operator's file differs from the running daemon; changes nothing",
    "apply": "do just what a plan says",
    "maintenance": "orders of work on boxes and brokers, which the brokers settle among themselves",
    "counters": "ask a running daemon to write its counters to its log",
    "demo": "stand-in boxes, the daemon and its object front, on loopback",
    "box": "one stand-in storage box",
    "lab": "experiments",
    "version": "print the version",
}


def main(arguments: list[str] | None = None) -> int:
    """Run one command; its exit status. What can't be used is one plain line and 2."""
    given = sys.argv[1:] if arguments is None else arguments
    if given[:1] in (["-h"], ["--help"], ["help"]):
        rows = "\n".join(f"  {name:11} {what}" for name, what in COMMANDS.items())
        print((__doc__ or "").strip().format(commands=rows))
        return 0
    named = bool(given) and not given[0].startswith("-")
    name, rest = (given[0], given[1:]) if named else ("serve", given)
    if name not in COMMANDS:
        print(f"harriertide: {name}: no such command; there are {', '.join(COMMANDS)}", file=sys.stderr)
        return 2
    if name == "serve":
        _start_lean()
    module = import_module(f"harriertide.cli.{name}")
    run: Callable[[dict[str, object]], int] = module.main
    page = module.__doc__ or ""
    try:
        asked = docopt(page, [name, *rest], options_first=name == "lab")
    except (DocoptExit, DocoptLanguageError):
        usage = page.partition("Usage:")[2].strip().partition("\n")[0]
        what = " ".join(rest) or "no arguments"
        print(f"harriertide {name}: can't use {what}; usage: {usage}", file=sys.stderr)
        return 2
    try:
        return run(asked)
    except SettingsError as fault:
        print(f"harriertide: {fault}", file=sys.stderr)
        return 2


def _start_lean() -> None:
    """Leave out of the start what takes a third of it and is of no use here.

    A broker that restarts is missed for as long. aiohttp reads the system's certificates as it is imported,
    but no TLS is spoken; the collector of cycles looks through modules as they come, which stay.
    """
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()  # until it serves
