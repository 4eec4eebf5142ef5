"""Set-up and main loop of one node."""

import asyncio
import signal
from contextlib import AsyncExitStack

from basilhill.clocks import Clock, SystemClock
from basilhill.settings import NodeSettings
from grpclib.server import Server
from sanic import Sanic
from sanic.server.protocols.http_protocol import HttpProtocol

from basilhill_node.administration import ADMINISTRATION_CONNECTIONS, build_administration
from basilhill_node.backend_servers import HttpBackendServer
from basilhill_node.client_listener import build_client_listener, connection_limit
from basilhill_node.commands.adjust_admission import adjust_admission
from basilhill_node.commands.exchange_sections import exchange_digests
from basilhill_node.commands.leave_fleet import finish_calls, follow_drain, start_leaving
from basilhill_node.commands.maintain_streams import maintain_streams
from basilhill_node.commands.read_platform import follow_document, follow_fleet
from basilhill_node.connections import limited_protocol
from basilhill_node.network import DirectNetwork, Network
from basilhill_node.peer_pool import PeerClients
from basilhill_node.peer_server import PeerService
from basilhill_node.platform_client import HttpPlatformClient
from basilhill_node.state import NodeState, new_state

CLOSE_POLLS = 50
CLOSE_POLL_S = 0.02


async def run_node(
    settings: NodeSettings, clock: Clock | None = None, network: Network | None = None
) -> None:
    """Run a node until it receives SIGTERM or SIGINT."""
    node = new_state(
        settings, clock or SystemClock(), network or DirectNetwork(), HttpBackendServer(settings)
    )
    async with AsyncExitStack() as opened:
        opened.push_async_callback(node.backend.close)
        await serve_until_left(node, opened)


async def serve_until_left(node: NodeState, opened: AsyncExitStack) -> None:
    """Serve until a signal arrives and the calls in flight have ended."""
    settings = node.settings
    node.peers = PeerClients(node)
    service = node.connected_peers = PeerService(node)
    peer_server = Server([service])
    await peer_server.start(settings.address, settings.peer_port)
    opened.callback(peer_server.close)
    client_listener = await serve_http(
        build_client_listener(node),
        settings.address,
        settings.front_port,
        limited_protocol(lambda: connection_limit(node)),
    )
    opened.callback(client_listener.close)
    administration = await serve_http(
        build_administration(node),
        settings.administration_address,
        settings.administration_port,
        limited_protocol(lambda: ADMINISTRATION_CONNECTIONS),
    )
    opened.callback(administration.close)
    platform = HttpPlatformClient(settings)
    opened.push_async_callback(platform.close)
    background = [
        node.spawn(follow_document(node, platform)),
        node.spawn(follow_fleet(node, platform)),
        node.spawn(exchange_digests(node)),
        node.spawn(follow_drain(node)),
        node.spawn(service.send_heartbeats()),
        node.spawn(adjust_admission(node)),
        node.spawn(maintain_streams(node)),
    ]
    node.log.record("node", "", f"serving {settings.service} at {settings.node}")
    await wait_for_signal()
    start_leaving(node)
    await finish_calls(node)
    client_listener.close()
    await close_requests(client_listener)
    for task in background:
        task.cancel()


async def serve_http(app: Sanic, address: str, port: int, protocol: type[HttpProtocol]):
    """Start serving an application in this event loop; return its server."""
    server = await app.create_server(
        address, port, protocol=protocol, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    return server


async def close_requests(client_listener) -> None:
    """Close each caller connection once its current request has ended."""
    for _ in range(CLOSE_POLLS):
        if all(connection.close_if_idle() for connection in list(client_listener.connections)):
            return
        await asyncio.sleep(CLOSE_POLL_S)


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
