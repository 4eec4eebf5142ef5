"""HTTP administration API; nothing in it changes state."""

from hmac import compare_digest

from sanic import Request, Sanic
from sanic.response import HTTPResponse, json, text

from basilhill_node.queries.status import is_ready, node_status
from basilhill_node.state import NodeState

OPEN_PATHS = frozenset({"/healthz", "/readyz"})


def build_administration(node: NodeState) -> Sanic:
    """Return the application that serves operators."""
    app = Sanic(f"administration-{node.incarnation}", configure_logging=False)
    app.config.ACCESS_LOG = False
    # Sanic rewrites its protocol class once per process; the front has done so already.
    app.config.TOUCHUP = False
    expected = f"Bearer {node.settings.administration_token}"

    @app.on_request
    async def authorise(request: Request) -> HTTPResponse | None:
        if request.path in OPEN_PATHS or not node.settings.administration_token:
            return None
        given = request.headers.get("authorization", "")
        if compare_digest(given.encode(), expected.encode()):
            return None
        return text("a bearer token is needed\n", status=401)

    @app.get("/healthz")
    async def healthz(_request: Request) -> HTTPResponse:
        return text("ok\n")

    @app.get("/readyz")
    async def readyz(_request: Request) -> HTTPResponse:
        return text("ready\n") if is_ready(node) else text("not ready\n", status=503)

    @app.get("/status")
    async def status(_request: Request) -> HTTPResponse:
        return json(node_status(node))

    return app
