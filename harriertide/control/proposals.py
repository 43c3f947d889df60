"""Proposes the planner's commands to the replicated log."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from harriertide.control.event_log import EventSink
from harriertide.control.member import AgreementMember
from harriertide.control.pending_calls import CallError
from harriertide.maintenance.commands import (
    Command,
    command_name,
    decode_result,
    encode_command,
)

CALL_TIMEOUT_S = 5.0  # for committing a command; long enough for several elections
RETRY_INTERVAL_US = 1_000_000  # after this time, a command without a result may be proposed again


class Proposals:
    """Proposes each command in its own task, and skips commands that are already in flight."""

    def __init__(self, member: AgreementMember, events: EventSink, counts: Counter[str]) -> None:
        self._member = member
        self._events = events
        self._counts = counts
        self._open_until_us: dict[bytes, int] = {}  # by encoded command without its time
        self._tasks: set[asyncio.Task[None]] = set()

    def propose(self, now_us: int, command: Command) -> None:
        """Propose a command, unless the same command is in flight."""
        key = encode_command(msgspec.structs.replace(command, at_s=0.0))
        open_until_us = self._open_until_us
        self._open_until_us = {
            open_key: until_us for open_key, until_us in open_until_us.items() if until_us > now_us
        }
        if key in self._open_until_us:
            return
        self._open_until_us[key] = now_us + RETRY_INTERVAL_US
        task = asyncio.get_running_loop().create_task(self._call(key, command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, key: bytes, command: Command) -> None:
        try:
            result = decode_result(await self._member.call(encode_command(command), CALL_TIMEOUT_S))
            self._events.write("planned", what=command_name(command), refused=result.refusal)
        except CallError:
            self._counts["unsettled"] += 1
        self._open_until_us.pop(key, None)

    def forget(self) -> None:
        """Forget the commands in flight when the leadership changes, so that each may be proposed again."""
        self._open_until_us.clear()

    def cancel_tasks(self) -> list[asyncio.Task[None]]:
        """Cancel the proposals in flight; return their tasks."""
        tasks = [*self._tasks]
        for task in tasks:
            task.cancel()
        return tasks
