"""Print how FILE differs from the running daemon, and write that to PLAN; changes nothing.

Usage: harriertide plan FILE -o PLAN

Lines begin with + (added), ~ (changed) or - (taken away).

Options:
  -o PLAN  where to write the plan
"""

from __future__ import annotations

import json
from pathlib import Path

from harriertide.config.client import call_admin
from harriertide.config.errors import AdminUnavailableError, PlanError
from harriertide.config.operator_file import load_operator_file
from harriertide.config.state_diff import describe_changes


def main(given: dict[str, str]) -> int:
    """Run the command on arguments of the page above.

    :returns: exit status 0.
    :raises SettingsError: in one plain line; the caller ends with 2.
    """
    wanted = load_operator_file(given["FILE"])
    response = call_admin("GET", wanted.admin, "/state")
    if response.status != 200:
        raise AdminUnavailableError(f"admin: {wanted.admin} answered {response.status}")
    running = response.document
    changes = describe_changes(running["state"], wanted.state)
    plan = {"admin": wanted.admin, "from": running["digest"], "state": wanted.state, "lines": changes}
    try:
        Path(given["-o"]).write_text(json.dumps(plan, indent=1) + "\n", encoding="utf-8")
    except OSError as error:
        raise PlanError(f"{given['-o']}: {error.strerror}") from None
    print("\n".join(changes) if changes else "no change")
    return 0
