"""A bounded HTTP client of nodes, for what an application does in an attempt."""

from __future__ import annotations

from collections.abc import Mapping

from harriertide.http.node_client import NodeClient
from harriertide.http.node_response import Reply
from harriertide.library.attempt import Attempt
from harriertide.library.errors import NODE_ERRORS, NotWrittenError

_CODING_FIELDS = frozenset(("transfer-encoding", "te"))  # what they say is the client's to carry out


class NodeClientView:
    """Sends requests to the node of an attempt, once the core agrees right before the first byte leaves."""

    def __init__(self, client: NodeClient) -> None:
        self._client = client

    async def request(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """One exchange with the attempt's node.

        :param headers: further header fields; Content-Length is added to them
        :returns: the complete response, of any status below 500
        :raises AttemptError: one of its kinds for all else; let it pass, so that the core can retry
        :raises ValueError: a header field asks for a transfer coding
        """
        for name in headers or ():
            if name.lower() in _CODING_FIELDS:
                raise ValueError(f"{name} can't be set: the client frames requests itself")
        outcome, reply = await self._client.exchange(
            attempt.engine_attempt, method, target, headers or {}, body
        )
        if reply is not None and (outcome == "ok" or (outcome == "error" and reply.status < 500)):
            return reply
        error = NODE_ERRORS.get(outcome)
        if error is None:
            raise NotWrittenError(outcome)
        detail = outcome if reply is None else f"status {reply.status}"
        raise error(f"{attempt.node_id}: {detail}")
