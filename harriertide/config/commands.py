"""plan and apply: the operator's side of the admin address."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import aiohttp

from harriertide.config import diff
from harriertide.config.model import OperatorFileError, load, read_state

ANSWER_S = 10.0


async def _ask(method: str, url: str, body: object = None) -> tuple[int, dict[str, Any]]:
    loop = asyncio.get_running_loop()
    async with (
        asyncio.timeout_at(loop.time() + ANSWER_S),
        aiohttp.ClientSession(trust_env=False) as session,
        session.request(method, url, json=body, allow_redirects=False) as response,
    ):
        return response.status, json.loads(await response.read())


def _call(method: str, admin: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
    try:
        return asyncio.run(_ask(method, f"http://{admin}{path}", body))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as fault:
        raise OperatorFileError(f"admin: {admin} does not answer: {fault or 'no answer'}") from None


def plan(file: str, output: str) -> int:
    """Print how the file differs from what runs, and write that down. Changes nothing."""
    try:
        operator = load(file)
        status, held = _call("GET", operator.admin, "/state")
        if status != 200:
            raise OperatorFileError(f"admin: {operator.admin} answered {status}")
        said = diff.lines(held["state"], operator.state)
        text = {"admin": operator.admin, "from": held["digest"], "state": operator.state, "lines": said}
        Path(output).write_text(json.dumps(text, indent=1) + "\n", encoding="utf-8")
    except OperatorFileError as fault:
        return _off(fault)
    except OSError as fault:
        return _off(f"{output}: {fault.strerror}")
    print("\n".join(said) if said else "no change")
    return 0


def apply(file: str) -> int:
    """Do just what a plan says; 1 if the state has moved since."""
    try:
        text = json.loads(Path(file).read_text(encoding="utf-8"))
        admin, start, said = str(text["admin"]), str(text["from"]), list(text["lines"])
        state = read_state(text["state"])
        status, answer = _call("POST", admin, "/apply", {"from": start, "state": state})
    except OSError as fault:
        return _off(f"{file}: {fault.strerror}")
    except (ValueError, KeyError, TypeError):
        return _off(f"{file}: not a plan")
    except OperatorFileError as fault:
        return _off(fault)
    if status == 200:
        print("\n".join([*said, f"applied {len(said)} changes"]))
        return 0
    print(f"harriertide: {answer.get('reason', status)}", file=sys.stderr)
    return 1 if status == 409 else 2


def _off(fault: object) -> int:
    print(f"harriertide: {fault}", file=sys.stderr)
    return 2
