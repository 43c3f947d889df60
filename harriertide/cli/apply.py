"""Do just what PLAN says; refused with exit 1 if the daemon's state has moved since.

Usage: harriertide apply PLAN
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path

from harriertide.config.client import call_admin
from harriertide.config.errors import PlanError
from harriertide.config.operator_file import State, read_state

EXIT_STATE_MOVED = 1
EXIT_REFUSED = 2


@dataclass(frozen=True, slots=True)
class Plan:
    """What `plan` wrote.

    :param admin: address of the daemon that it was made for.
    :param planned_from: digest of the state that the daemon was in.
    :param state: the state wanted.
    :param changes: lines that `plan` printed.
    """

    admin: str
    planned_from: str
    state: State
    changes: list[str]


def main(given: dict[str, str]) -> int:
    """Run the command on arguments of the page above.

    :returns: exit status; 1: the daemon's state has moved since, 2: it refused.
    :raises SettingsError: in one plain line; the caller ends with 2.
    """
    plan = _read_plan(given["PLAN"])
    asked = {"from": plan.planned_from, "state": plan.state}
    response = call_admin("POST", plan.admin, "/apply", asked)
    if response.status == 200:
        print("\n".join([*plan.changes, f"applied {len(plan.changes)} changes"]))
        return 0
    print(f"harriertide: {response.document.get('reason', response.status)}", file=sys.stderr)
    return EXIT_STATE_MOVED if response.status == 409 else EXIT_REFUSED


def _read_plan(path: str) -> Plan:
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
        return Plan(
            admin=str(document["admin"]),
            planned_from=str(document["from"]),
            state=read_state(document["state"]),
            changes=list(document["lines"]),
        )
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (ValueError, KeyError, TypeError):
        raise PlanError(f"{path}: not a plan") from None
