"""A discovery that falls silent under a watch or a call, in virtual time: who asks again, and when."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from harriertide.core import events as ev
from harriertide.engine.clock import until
from harriertide.lab import virtual
from harriertide.platform.discovery import Directory, Watch

TOLD_S = 6.0  # what a silent watch misses counts as told so long after its last word
LIST = b'{"seq":7,"whole":true,"hosts":[]}\n'


class Silent:
    """Answers as many calls as it is told to with a list, and then says nothing on them."""

    def __init__(self, answers: list[bool]) -> None:
        self.answers = answers
        self.asked: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.asked.append(round(asyncio.get_running_loop().time() - 1.0, 3))
        if self.answers and self.answers.pop(0):
            chunk = b"%x\r\n%s\r\n" % (len(LIST), LIST)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


def course(answers: list[bool], seconds: float) -> tuple[list[float], list[str]]:
    """When it was asked, and what the core was told, in order."""
    told: list[str] = []

    def post(event: ev.Event) -> None:
        assert isinstance(event, ev.Listed)
        told.append(event.news.kind)

    async def main() -> list[float]:
        silent = Silent(answers)
        server = await asyncio.start_server(silent.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        watch = Watch(f"127.0.0.1:{port}", Directory({}), post)
        watch.open()
        await until(asyncio.get_running_loop().time() + seconds)
        await watch.close()
        server.close()
        return silent.asked

    return virtual.run(main()), told


def test_a_watch_that_falls_silent_is_opened_anew_in_time_and_without_the_core() -> None:
    asked, told = course([True, True, True], 12.0)
    assert len(asked) == 3 and asked[1] - asked[0] < TOLD_S - 1.0 and asked[2] - asked[1] < TOLD_S - 1.0
    assert told == ["whole"] * 3


def test_a_call_without_an_answer_is_made_again_once_and_then_the_core_says_when() -> None:
    """Guards against hundreds of brokers that press a discovery which answers nobody."""
    asked, told = course([False, False], 60.0)
    assert len(asked) == 2 and asked[1] - asked[0] < TOLD_S - 1.0
    assert told == ["failed"]
    asked, told = course([False, True, False], 60.0)
    assert len(asked) == 3 and told == ["whole", "failed"]  # what has spoken again may fall silent again
