"""Print how FILE differs from the running daemon, and write that to PLAN; changes nothing.

Usage: harriertide plan FILE -o PLAN

Lines begin with + (added), ~ (changed) or - (taken away).

Options:
  -o PLAN  where to write the plan
"""

from __future__ import annotations

import json
from pathlib import Path

from harriertide.config import diff
from harriertide.config.client import call
from harriertide.config.model import OperatorFileError, load


def main(given: dict[str, str]) -> int:
    """As the page says."""
    operator = load(given["FILE"])
    status, held = call("GET", operator.admin, "/state")
    if status != 200:
        raise OperatorFileError(f"admin: {operator.admin} answered {status}")
    said = diff.lines(held["state"], operator.state)
    text = {"admin": operator.admin, "from": held["digest"], "state": operator.state, "lines": said}
    try:
        Path(given["-o"]).write_text(json.dumps(text, indent=1) + "\n", encoding="utf-8")
    except OSError as fault:
        raise OperatorFileError(f"{given['-o']}: {fault.strerror}") from None
    print("\n".join(said) if said else "no change")
    return 0
