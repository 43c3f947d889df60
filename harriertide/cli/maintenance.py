"""Machines taken out for work in an order that the brokers settle among themselves.

Usage:
  harriertide maintenance plan FILE [-o PLAN] [--at ADDRESS] [--json]
  harriertide maintenance request FILE [--at ADDRESS] [--json]
  harriertide maintenance status [--at ADDRESS] [--json]
  harriertide maintenance done MACHINE [--at ADDRESS] [--json]
  harriertide maintenance cancel ORDER [--at ADDRESS] [--json]
  harriertide maintenance (hold | resume) [--at ADDRESS] [--json]
  harriertide maintenance gone BROKER [--at ADDRESS] [--json]

FILE is an order, or a PLAN that `plan` wrote: that is refused where the state has moved since. Any broker
will do. What is refused is said in one line, with exit 1; what can't be used, with 2; what was not agreed on
in time, with 3: ask `status` what came of it, or ask the same again.

Options:
  --at ADDRESS  the admin address of a broker [default: 127.0.0.1:9101]
  -o PLAN       write what would come out, to be requested as it is
  --json        the answer as one object
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from harriertide.config.client import AdminResponse, call_admin
from harriertide.maintenance.orders import OrderError

Arguments = dict[str, Any]
Document = dict[str, Any]

ORDERS = ("request", "done", "cancel", "hold", "resume", "gone")  # calls that change what is agreed on
# The page's arguments that name something, and the key of the call's body that each goes into.
NAMING_ARGUMENTS = {"MACHINE": "machine", "ORDER": "order", "BROKER": "broker"}
EXIT_STATUS_BY_RESPONSE = {200: 0, 409: 1, 503: 3}  # refused: 1; not agreed on in time: 3
EXIT_UNUSABLE = 2


def main(given: Arguments) -> int:
    """Run the command on arguments of the page above.

    :returns: exit status, as the page says.
    :raises SettingsError: in one plain line; the caller ends with 2.
    """
    address = str(given["--at"])
    if given["status"]:
        return _report(given, call_admin("GET", address, "/maintenance"), _describe_status)
    if given["plan"]:
        return _plan(given, address)
    call = next(name for name in ORDERS if given[name])
    body = _read_request(given["FILE"]) if call == "request" else {}
    for argument, key in NAMING_ARGUMENTS.items():
        if given[argument]:
            body[key] = given[argument]
    response = call_admin("POST", address, f"/maintenance/{call}", body)
    return _report(given, response, lambda document: [f"agreed on, at index {document['index']}"])


def _plan(given: Arguments, address: str) -> int:
    """What an order would come to; kept in a file where one is named."""
    text = _read_text(given["FILE"])
    response = call_admin("POST", address, "/maintenance/plan", {"text": text})
    if response.status == 200 and given["-o"]:
        plan = json.dumps({"from": response.document["from"], "text": text})
        Path(given["-o"]).write_text(plan, encoding="utf-8")
    return _report(given, response, _describe_plan)


def _read_request(path: str) -> Document:
    """The body of a request: an order's text, with the state that it was planned from if it is a plan."""
    text = _read_text(path)
    if not text.lstrip().startswith("{"):
        return {"text": text}
    try:
        plan = json.loads(text)
        return {"from": str(plan["from"]), "text": str(plan["text"])}
    except (ValueError, KeyError, TypeError):
        raise OrderError(f"{path}: neither an order nor a plan") from None


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise OrderError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise OrderError(f"{path}: not text") from None


def _report(given: Arguments, response: AdminResponse, describe: Callable[[Document], list[str]]) -> int:
    """Print an answer as it was asked for; the exit status."""
    if given["--json"]:
        print(json.dumps(response.document))
    elif response.status == 200:
        print("\n".join(describe(response.document)))
    else:
        print(f"harriertide: {response.document.get('reason', response.status)}", file=sys.stderr)
    return EXIT_STATUS_BY_RESPONSE.get(response.status, EXIT_UNUSABLE)


def _describe_plan(document: Document) -> list[str]:
    lines = [_describe_planned_step(step) for step in document["steps"]]
    lines += [f"    never   {name}" for name in document["never"]]
    lines.append(f"takes {document['takes_s']} s; the least possible is {document['least_s']} s")
    lines += [
        f"grade {name}: {ratio:.0%} of its reserves not served at worst"
        for name, ratio in document["grades"].items()
    ]
    return lines


def _describe_planned_step(step: Document) -> str:
    left = f"{step['left']:.0%} of the units left" if step["left"] >= 0 else "no units are stated"
    return f"{step['after_s']:9.1f} s  {step['machine']}  {left}"


def _describe_status(document: Document) -> list[str]:
    leader = document["leader"] or "nobody"
    voters = ", ".join(document["voters"])
    lines = [f"{document['name']}: leader {leader}, voters {voters}, index {document['applied']}"]
    if not document["knows"]:
        lines.append("this broker hears no majority: how things stand now is not known here")
    if document["halted"]:
        lines.append(f"this broker is out of the agreement: {document['halted']}")
    if document["held"]:
        lines.append("held: no new permits")
    lines += [f"away, unplanned: {name}" for name in document["failed"]]
    lines += [f"said to be gone: {name}" for name in document["gone"]]
    for order in document["orders"]:
        lines.append(f"order {order['order']}: {_describe_progress(order)}")
        lines += [_describe_step(step) for step in order["steps"]]
    return lines


def _describe_progress(order: Document) -> str:
    if order["cancelled"]:
        return "cancelled"
    return "over" if order["over"] else "under way"


def _describe_step(step: Document) -> str:
    overdue = " overdue" if step["overdue"] else ""
    waits_for = "; waits for " + ", ".join(step["waits"]) if step.get("waits") else ""
    return f"  {step['machine']:20} {step['phase']}{overdue} for {step['for_s']} s{waits_for}"
