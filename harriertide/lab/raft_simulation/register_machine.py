"""The state machine of the simulated cluster: named registers."""

from __future__ import annotations

from harriertide.lab.checkers.linearizability_checker import OperationKind

SUCCEEDED, FAILED = b"yes", b"no"


def encode_command(kind: OperationKind, key: str, value: str) -> bytes:
    """Encode a put, or a swap whose value is "OLD>NEW"."""
    return f"{kind}\n{key}\n{value}".encode()


class RegisterMachine:
    """Registers by name; one that was never written holds ""."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}

    def read(self, key: str) -> str:
        """Return the value of a register."""
        return self.values.get(key, "")

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a put or a swap; a swap fails where the register holds something else than its OLD."""
        kind, key, value = data.decode().split("\n")
        if kind == "swap":
            old, _, new = value.partition(">")
            if self.read(key) != old:
                return FAILED
            value = new
        self.values[key] = value
        return SUCCEEDED

    def dump(self) -> bytes:
        """Return all registers."""
        return "\x00".join(f"{key}\n{value}" for key, value in sorted(self.values.items())).encode()

    def load(self, data: bytes) -> None:
        """Replace all registers by those of a dump."""
        rows = data.decode().split("\x00") if data else []
        self.values = dict(row.split("\n") for row in rows)
