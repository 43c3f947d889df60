"""A peer's silence is told from a pause of this process."""

from __future__ import annotations

import asyncio
import time

from harriertide.http.silence_timer import TICK_S, SilenceTimer
from tests.socket_broker import SocketBroker, receive_all, request_head, run_with_broker, send_response

TIMEOUT_S = 6 * TICK_S
PAUSE_S = 0.15  # for which the pages let a broker be held up at any moment


def test_a_silent_peer_is_noticed_in_time() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        silent = asyncio.Event()
        begun_s = loop.time()
        SilenceTimer(loop, TIMEOUT_S, silent.set)
        await silent.wait()
        assert TIMEOUT_S <= loop.time() - begun_s < TIMEOUT_S + PAUSE_S

    asyncio.run(main())


def test_a_pause_of_this_process_counts_as_one_tick() -> None:
    """Guards against a timer that is due in the first moment in which the process runs again."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        silent = asyncio.Event()
        timer = SilenceTimer(loop, TIMEOUT_S, silent.set)
        time.sleep(PAUSE_S)
        await asyncio.sleep(TICK_S)
        assert not silent.is_set()
        timer.cancel()
        await asyncio.sleep(TIMEOUT_S + TICK_S)
        assert not silent.is_set()

    asyncio.run(main())


def test_a_response_whose_rest_arrives_while_the_broker_is_held_up_is_whole() -> None:
    """Guards against a good response that counts as broken off, as nobody has read the rest of it yet."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        node = await broker.next_request()
        node.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nda")
        await asyncio.sleep(TICK_S)
        for _ in range(3):  # held up again and again, and a tick between
            time.sleep(PAUSE_S)
            await asyncio.sleep(TICK_S / 2)
        node.writer.write(b"ta")
        assert (await receive_all(client)).endswith(b"data")
        assert broker.node.connection_count == 1

    run_with_broker(scenario)


def test_a_connection_that_comes_up_while_the_broker_is_held_up_is_used() -> None:
    """Guards against a node that counts as unreachable because its broker was not run for a moment."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        while not broker.daemon.client.pool._connecting_count:
            await asyncio.sleep(0)
        time.sleep(broker.daemon.client.connect_us / 1e6 + PAUSE_S)
        send_response(await broker.next_request())
        assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")
        assert broker.node.connection_count == 1

    run_with_broker(scenario)
