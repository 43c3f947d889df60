"""An aiohttp.web service with the broker in its own process.

    python examples/aiohttp_app.py boxes.toml 8080

GET /page/NAME?shard=N reads a blob from the node that the broker chooses.
"""

from __future__ import annotations

import sys

from aiohttp import web

from harriertide.library import Broker, RequestSpec
from harriertide.library.web import ATTEMPT, BrokerMiddleware


def describe(request: web.Request) -> RequestSpec | None:
    """What the decisions need to know; None lets a request pass beside the broker."""
    if not request.path.startswith("/page/"):
        return None
    return RequestSpec("photos", shard=int(request.query.get("shard", "-1")), request_class="read")


def make(broker: Broker) -> web.Application:
    """The application."""

    async def page(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if request.method == "PUT":
            body = await request.read()  # buffered by the middleware: there again for a retry
            reply = await broker.nodes.request(request[ATTEMPT], "PUT", f"/photos/{name}", {}, body)
        else:
            reply = await broker.nodes.request(request[ATTEMPT], "GET", f"/photos/{name}")
        return web.Response(status=reply.status, body=reply.body)

    async def about(request: web.Request) -> web.Response:
        return web.json_response(broker.counters())

    middleware = BrokerMiddleware(broker, describe)
    app = web.Application(middlewares=[middleware.middleware])
    middleware.attach(app)
    app.router.add_get("/page/{name}", page)
    app.router.add_put("/page/{name}", page)
    app.router.add_get("/about", about)
    return app


if __name__ == "__main__":
    web.run_app(make(Broker.from_file(sys.argv[1])), host="127.0.0.1", port=int(sys.argv[2]))
