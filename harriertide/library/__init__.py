"""The broker inside an application. Its middlewares are harriertide.library.web and .asgi; .blocking is for
programs on threads."""

from harriertide.library.broker import Boxes, Broker
from harriertide.library.exchange import Hub, Loopback
from harriertide.library.sources import Box, Discovery, Fixed, OperatorFile
from harriertide.library.types import (
    Ask,
    Attempt,
    BoxBrokeError,
    BoxError,
    BoxFullError,
    BoxSlowError,
    BoxUnreachableError,
    FailedError,
    NotWrittenError,
    RefusedError,
)

__all__ = [
    "Ask", "Attempt", "Box", "BoxBrokeError", "BoxError", "BoxFullError", "BoxSlowError",
    "BoxUnreachableError", "Boxes", "Broker", "Discovery", "FailedError", "Fixed", "Hub", "Loopback",
    "NotWrittenError", "OperatorFile", "RefusedError",
]  # fmt: skip
