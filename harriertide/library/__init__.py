"""The broker inside an application.

Its middlewares are `harriertide.library.web` (aiohttp) and `harriertide.library.asgi`;
`harriertide.library.blocking` is for programs on threads.
"""

from harriertide.library.attempt import Attempt
from harriertide.library.broker import Broker
from harriertide.library.errors import (
    AttemptError,
    FailedError,
    NodeConnectionLostError,
    NodeError,
    NodeOverloadedError,
    NodeResponseError,
    NodeTimeoutError,
    NodeUnreachableError,
    NotWrittenError,
    RejectedError,
    RequestError,
)
from harriertide.library.in_process_peers import InProcessPeers
from harriertide.library.loopback_peers import LoopbackPeers
from harriertide.library.node_client_view import NodeClientView
from harriertide.library.node_sources import Discovery, Node, NodeList, OperatorFile
from harriertide.library.request_spec import RequestSpec

__all__ = [
    "Attempt", "AttemptError", "Broker", "Discovery", "FailedError", "InProcessPeers", "LoopbackPeers",
    "Node", "NodeClientView", "NodeConnectionLostError", "NodeError", "NodeList", "NodeOverloadedError",
    "NodeResponseError", "NodeTimeoutError", "NodeUnreachableError", "NotWrittenError", "OperatorFile",
    "RejectedError", "RequestError", "RequestSpec",
]  # fmt: skip
