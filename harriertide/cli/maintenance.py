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
from pathlib import Path
from typing import Any

from harriertide.config.client import call
from harriertide.maintenance.orders import OrderError


def main(given: dict[str, Any]) -> int:
    """As the page says."""
    at = str(given["--at"])
    if given["status"]:
        code, answer = call("GET", at, "/maintenance")
        return _say(given, code, answer, _status)
    if given["plan"]:
        text = _read(given["FILE"])
        code, answer = call("POST", at, "/maintenance/plan", {"text": text})
        if code == 200 and given["-o"]:
            Path(given["-o"]).write_text(json.dumps({"from": answer["from"], "text": text}), encoding="utf-8")
        return _say(given, code, answer, _plan)
    body: dict[str, Any] = {}
    what = next(w for w in ("request", "done", "cancel", "hold", "resume", "gone") if given[w])
    if what == "request":
        text = _read(given["FILE"])
        body = {"text": text}
        if text.lstrip().startswith("{"):
            try:
                plan = json.loads(text)
                body = {"from": str(plan["from"]), "text": str(plan["text"])}
            except (ValueError, KeyError, TypeError):
                raise OrderError(f"{given['FILE']}: neither an order nor a plan") from None
    for word, key in (("MACHINE", "machine"), ("ORDER", "order"), ("BROKER", "broker")):
        if given[word]:
            body[key] = given[word]
    code, answer = call("POST", at, f"/maintenance/{what}", body)
    return _say(given, code, answer, lambda answer: [f"agreed on, at index {answer['index']}"])


def _read(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as fault:
        raise OrderError(f"{path}: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise OrderError(f"{path}: not text") from None


def _say(given: dict[str, Any], code: int, answer: dict[str, Any], rows: Any) -> int:
    if given["--json"]:
        print(json.dumps(answer))
    elif code == 200:
        print("\n".join(rows(answer)))
    else:
        print(f"harriertide: {answer.get('reason', code)}", file=sys.stderr)
    return {200: 0, 409: 1, 503: 3}.get(code, 2)


def _plan(answer: dict[str, Any]) -> list[str]:
    rows = [
        f"{row['after_s']:9.1f} s  {row['machine']}  "
        + (f"{row['left']:.0%} of the units left" if row["left"] >= 0 else "no units are stated")
        for row in answer["steps"]
    ]
    rows += [f"    never   {name}" for name in answer["never"]]
    rows.append(f"takes {answer['takes_s']} s; the least possible is {answer['least_s']} s")
    rows += [
        f"grade {name}: {cost:.0%} of its reserves not served at worst"
        for name, cost in answer["grades"].items()
    ]
    return rows


def _status(answer: dict[str, Any]) -> list[str]:
    leader = answer["leader"] or "nobody"
    rows = [
        f"{answer['name']}: leader {leader}, voters {', '.join(answer['voters'])}, index {answer['applied']}"
    ]
    if not answer["knows"]:
        rows.append("this broker hears no majority: how things stand now is not known here")
    if answer["halted"]:
        rows.append(f"this broker is out of the agreement: {answer['halted']}")
    if answer["held"]:
        rows.append("held: no new permits")
    rows += [f"away, unplanned: {name}" for name in answer["failed"]]
    rows += [f"said to be gone: {name}" for name in answer["gone"]]
    for order in answer["orders"]:
        over = "cancelled" if order["cancelled"] else "over" if order["over"] else "under way"
        rows.append(f"order {order['order']}: {over}")
        for step in order["steps"]:
            waits = "; waits for " + ", ".join(step["waits"]) if step.get("waits") else ""
            late = " overdue" if step["overdue"] else ""
            rows.append(f"  {step['machine']:20} {step['phase']}{late} for {step['for_s']} s{waits}")
    return rows
