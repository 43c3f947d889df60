"""Each example under examples/, against stand-in boxes."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import uvicorn
from aiohttp import ClientSession, web

from examples import aiohttp_app, starlette_app
from harriertide.cli import node
from harriertide.library import Broker

ROOT = Path(__file__).parent.parent
FILE = """listen = "127.0.0.1:1"
admin = "127.0.0.1:2"
catalogue = "none"
[boxes.box-1]
address = "127.0.0.1:{port}"
shard = 0
[grades.gold]
reserve = 5
[volumes.photos]
grade = "gold"
"""


@asynccontextmanager
async def stand(folder: Path) -> AsyncIterator[Path]:
    """One box, and the operator's file that names it."""
    runner, port = await node.listen(node.StandInNode(node.NodeOptions(4, 4, 0, 1)), "127.0.0.1", 0)
    file = folder / "boxes.toml"
    file.write_text(FILE.format(port=port))
    try:
        yield file
    finally:
        await runner.cleanup()


async def ask(port: int) -> None:
    async with ClientSession(f"http://127.0.0.1:{port}") as session:
        async with session.put("/page/a?shard=0", data=b"hold the front page") as put:
            assert put.status == 200
        async with session.get("/page/a?shard=0") as got:
            assert await got.read() == b"hold the front page"
        async with session.get("/page/b?shard=0") as none:
            assert none.status == 404
        async with session.get("/page/a?shard=7") as nowhere:
            assert nowhere.status == 503


def test_aiohttp(tmp_path: Path) -> None:
    async def main() -> None:
        async with stand(tmp_path) as file:
            runner = web.AppRunner(aiohttp_app.make(Broker.from_file(str(file))))
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            port = runner.addresses[0][1]
            await ask(port)
            async with ClientSession() as session, session.get(f"http://127.0.0.1:{port}/about") as about:
                assert (await about.json())["core.served"] == 3
            await runner.cleanup()

    asyncio.run(main())


def test_starlette(tmp_path: Path) -> None:
    async def main() -> None:
        async with stand(tmp_path) as file:
            app = starlette_app.make(Broker.from_file(str(file)))
            server = uvicorn.Server(uvicorn.Config(app, port=0, log_level="critical"))
            serving = asyncio.create_task(server._serve())
            while not server.started:
                await asyncio.sleep(0.005)
            await ask(int(server.servers[0].sockets[0].getsockname()[1]))
            server.should_exit = True
            await serving

    asyncio.run(main())


def test_threads(tmp_path: Path) -> None:
    async def main() -> str:
        async with stand(tmp_path) as file:
            call = [sys.executable, str(ROOT / "examples" / "threads.py"), str(file), "a", "b"]
            child = await asyncio.create_subprocess_exec(
                *call, cwd=ROOT, stdout=subprocess.PIPE, env={"PYTHONPATH": str(ROOT)}
            )
            out, _ = await child.communicate()
            assert child.returncode == 0
            return out.decode()

    assert asyncio.run(main()) == "a is not there\nb is not there\n"


@pytest.mark.parametrize("page", ["README.md", "docs/library.md"])
def test_the_python_in_the_pages_is_whole(page: str) -> None:
    """Every block compiles; those that print say below what they print."""
    text = (ROOT / page).read_text(encoding="utf-8")
    blocks = [part.partition("```")[0] for part in text.split("```python\n")[1:]]
    assert blocks
    for block in blocks:
        compile(block, page, "exec", flags=0x2000)  # await at the top is fine
