"""Serve as LB_CONFIG says, and the object front as FILE says.

Usage: harriertide serve [--objects FILE] [--log FORM] [--record FILE]

Options:
  --objects FILE  the operator's file of the object front
  --record FILE   write down what the core is told of requests and nodes, to be played again
  --log FORM      text (key=value) or json [default: text]
"""

from __future__ import annotations

import os
from typing import Any

from harriertide.decide.settings import SettingsError


def main(given: dict[str, Any]) -> int:
    """Serve until the process is asked to stop.

    :returns: exit status.
    :raises SettingsError: where an option is wrong.
    """
    if given["--log"] not in ("text", "json"):
        raise SettingsError(f"--log: {given['--log']} is neither text nor json")
    # only now: a wrong option is answered without the start of a daemon
    from harriertide.cli.daemon import run
    from harriertide.engine.log import log

    log.set_format(given["--log"])
    return run(os.environ, given["--objects"], given["--record"])
