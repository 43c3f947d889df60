"""A broker that answers operators on a thread and an event loop of their own, to compare with a shared loop.

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
    """The daemon, except that its operators' address is served by another event loop."""

    async def open_operator_api(self, at: tuple[str, int]) -> None:
        """Serve it on a loop that runs on a thread of its own."""
        clients_loop = asyncio.get_running_loop()
        operators_loop = asyncio.new_event_loop()

        def on_change() -> None:
            clients_loop.call_soon_threadsafe(self.apply_lifecycle)

        self.operator_api = OperatorApi(self.lifecycle, on_change)
        threading.Thread(target=operators_loop.run_forever, daemon=True).start()
        listening = listen(at, self.operator_api.connection)
        future = asyncio.run_coroutine_threadsafe(listening, operators_loop)
        self.listeners.operator_server = await asyncio.wrap_future(future)


def main() -> int:
    """Serve with the configuration that the environment names."""
    daemon.Daemon = ThreadedDaemon  # type: ignore[misc]
    return daemon.run(os.environ)


if __name__ == "__main__":
    sys.exit(main())
