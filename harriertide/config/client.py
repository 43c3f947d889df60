"""The operator's side of the admin address."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import aiohttp

from harriertide.config.errors import AdminUnavailableError

ANSWER_TIMEOUT_S = 10.0  # above the 5 s that the daemon gives a majority to agree on an order


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A daemon's answer: its HTTP status and its document."""

    status: int
    document: dict[str, Any]


def call_admin(method: str, address: str, path: str, body: object = None) -> AdminResponse:
    """Make one call and wait for its answer.

    :param address: of the admin listener, `host:port`.
    :param body: sent as JSON; None: no body.
    :raises AdminUnavailableError: where there is no answer, or none that is JSON.
    """
    try:
        return asyncio.run(_send(method, f"http://{address}{path}", body))
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        reason = str(error) or "no answer"
        raise AdminUnavailableError(f"admin: {address} does not answer: {reason}") from None


async def _send(method: str, url: str, body: object) -> AdminResponse:
    loop = asyncio.get_running_loop()
    async with (
        asyncio.timeout_at(loop.time() + ANSWER_TIMEOUT_S),
        aiohttp.ClientSession(trust_env=False) as session,
        session.request(method, url, json=body, allow_redirects=False) as response,
    ):
        return AdminResponse(response.status, json.loads(await response.read()))
