"""The operator's side of the admin address."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from harriertide.config.model import OperatorFileError

ANSWER_S = 10.0


async def _ask(method: str, url: str, body: object = None) -> tuple[int, dict[str, Any]]:
    loop = asyncio.get_running_loop()
    async with (
        asyncio.timeout_at(loop.time() + ANSWER_S),
        aiohttp.ClientSession(trust_env=False) as session,
        session.request(method, url, json=body, allow_redirects=False) as response,
    ):
        return response.status, json.loads(await response.read())


def call(method: str, admin: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
    """Status and document of a daemon's answer; OperatorFileError where there is none."""
    try:
        return asyncio.run(_ask(method, f"http://{admin}{path}", body))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as fault:
        raise OperatorFileError(f"admin: {admin} does not answer: {fault or 'no answer'}") from None
