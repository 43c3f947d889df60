"""A broker that answers operators on a thread and a loop of their own, to measure the shared loop against.

Started as a program, by `lab operator-calls --thread`; it reads its configuration as `serve` does.
"""

from __future__ import annotations

import asyncio
import os
import sys
import threading

from harriertide.cli import daemon
from harriertide.http.listener import listen
from harriertide.lifecycle.operator_api import OperatorApi


class ThreadedDaemon(daemon.Daemon):
    """The daemon, but for where its operators' address is served."""

    async def open_operator_api(self, at: tuple[str, int]) -> None:
        """Serve it on a loop that runs on a thread of its own."""
        clients_loop, operators_loop = asyncio.get_running_loop(), asyncio.new_event_loop()

        def changed() -> None:
            clients_loop.call_soon_threadsafe(self.apply_lifecycle)

        self.operator_api = OperatorApi(self.lifecycle, changed)
        threading.Thread(target=operators_loop.run_forever, daemon=True).start()
        listening = listen(at, self.operator_api.connection)
        future = asyncio.run_coroutine_threadsafe(listening, operators_loop)
        self.listeners.operator_server = await asyncio.wrap_future(future)


def main() -> int:
    """Serve as the environment says."""
    daemon.Daemon = ThreadedDaemon  # type: ignore[misc]
    return daemon.run(os.environ)


if __name__ == "__main__":
    sys.exit(main())
