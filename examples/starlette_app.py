"""A Starlette service with the broker in its own process; FastAPI is used in the same way.

    python examples/starlette_app.py boxes.toml 8080

GET /page/NAME?shard=N reads a blob from the node that the broker chooses.
"""

from __future__ import annotations

import sys
from urllib.parse import parse_qs

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from harriertide.library import Broker, RequestSpec
from harriertide.library.asgi import BrokerMiddleware, Scope


def describe(scope: Scope) -> RequestSpec | None:
    """What the decisions need to know; None lets a request pass beside the broker."""
    if not scope["path"].startswith("/page/"):
        return None
    query = parse_qs(scope["query_string"].decode())
    return RequestSpec("photos", shard=int(query.get("shard", ["-1"])[0]), request_class="read")


def make(broker: Broker) -> BrokerMiddleware:
    """The application."""

    async def page(request: Request) -> Response:
        target = f"/photos/{request.path_params['name']}"
        attempt = request.state.attempt
        reply = await broker.nodes.request(attempt, request.method, target, {}, await request.body())
        return Response(reply.body, reply.status)

    return BrokerMiddleware(
        Starlette(routes=[Route("/page/{name}", page, methods=["GET", "PUT"])]), broker, describe
    )


if __name__ == "__main__":
    uvicorn.run(make(Broker.from_file(sys.argv[1])), host="127.0.0.1", port=int(sys.argv[2]))
