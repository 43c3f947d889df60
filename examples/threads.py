"""A program on threads with the broker in its own process.

    python examples/threads.py boxes.toml NAME ...

Reads each blob in a thread of its own and prints its size.
"""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor

from harriertide.library import RejectedError, RequestSpec
from harriertide.library.blocking import BlockingAttempt, Broker


def main(file: str, names: list[str]) -> int:
    """One line a blob, in order."""
    with Broker.from_file(file) as broker, ThreadPoolExecutor(4) as pool:

        def read(name: str) -> str:
            def perform(attempt: BlockingAttempt) -> str:
                reply = attempt.request("GET", f"/photos/{name}")
                return f"{name} {len(reply.body)}" if reply.status == 200 else f"{name} is not there"

            try:
                return broker.call(RequestSpec("photos", shard=0, request_class="read"), perform)
            except RejectedError as rejected:
                return f"{name} later, in {rejected.retry_after} s"

        for line in pool.map(read, names):
            print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
