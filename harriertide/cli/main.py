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
from dataclasses import dataclass
from importlib import import_module
from typing import Any

from docopt import DocoptExit, DocoptLanguageError, docopt

from harriertide.cli.early_reload import early_reloads
from harriertide.decide.settings import SettingsError

EXIT_UNUSABLE = 2  # an argument, a file or a setting can't be used

# A command's module has a page for docopt as its docstring and a main(given) that returns an exit status.
COMMANDS = {
    "serve": "serve as LB_CONFIG says, and the object front as an operator's file says",
    "plan": "how an operator's file differs from the running daemon; changes nothing",
    "apply": "do just what a plan says",
    "maintenance": "orders of work on nodes and brokers, which the brokers settle among themselves",
    "counters": "ask a running daemon to write its counters to its log",
    "demo": "stand-in nodes, the daemon and its object front, on loopback",
    "node": "one stand-in storage node (box: the same)",
    "lab": "experiments",
    "version": "print the version",
}
ALIASES = {"box": "node"}  # words of earlier releases, which scripts still use


@dataclass(frozen=True, slots=True)
class Command:
    """A command as it was typed.

    :param name: the word that was typed, an alias included.
    """

    name: str
    arguments: list[str]

    @property
    def module(self) -> str:
        """The word that the command's module is named after."""
        return ALIASES.get(self.name, self.name)


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    :param arguments: without the program's name; None: those of this process.
    :returns: exit status. What can't be used is one plain line on standard error, and 2.
    """
    typed = sys.argv[1:] if arguments is None else arguments
    if typed[:1] in (["-h"], ["--help"], ["help"]):
        _print_help()
        return 0
    command = _find_command(typed)
    if command.module not in COMMANDS:
        return _fail(f"{command.name}: no such command; there are {', '.join(COMMANDS)}")
    if command.module == "serve":
        early_reloads.hold()
        _start_lean()
    else:
        early_reloads.release()
    return _run(command)


def _print_help() -> None:
    rows = "\n".join(f"  {name:11} {summary}" for name, summary in COMMANDS.items())
    print((__doc__ or "").strip().format(commands=rows))


def _find_command(typed: list[str]) -> Command:
    """The command typed; `serve` where the first word is an option, or there is none."""
    if typed and not typed[0].startswith("-"):
        return Command(typed[0], typed[1:])
    return Command("serve", typed)


def _run(command: Command) -> int:
    module = import_module(f"harriertide.cli.{command.module}")
    run: Callable[[dict[str, Any]], int] = module.main
    page = module.__doc__ or ""
    try:
        # an experiment has a page of its own, which reads its options
        given = docopt(page, [command.name, *command.arguments], options_first=command.module == "lab")
    except (DocoptExit, DocoptLanguageError):
        usage = page.partition("Usage:")[2].strip().partition("\n")[0]
        arguments = " ".join(command.arguments) or "no arguments"
        return _fail(f"can't use {arguments}; usage: {usage}", program=f"harriertide {command.name}")
    try:
        return run(given)
    except SettingsError as error:
        return _fail(str(error))


def _fail(reason: str, program: str = "harriertide") -> int:
    print(f"{program}: {reason}", file=sys.stderr)
    return EXIT_UNUSABLE


def _start_lean() -> None:
    """Leave out of the start what takes a third of it and is of no use here.

    A broker that restarts is missed for as long. aiohttp reads the system's certificates as it is imported,
    but no TLS is spoken. The garbage collector looks through modules as they are loaded, though none of them
    goes away; the daemon switches it on again once it serves.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()
