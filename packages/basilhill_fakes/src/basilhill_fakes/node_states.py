"""Node states for tests in one process, without sockets."""

from collections.abc import Iterable

from basilhill.clocks import SystemClock
from basilhill.documents import Section
from basilhill.loads import ServerLoad
from basilhill.poison_requests import CrashReport
from basilhill.queries.documents import build_document, parse_section
from basilhill.settings import normalise_settings
from basilhill_node.network import DirectNetwork
from basilhill_node.state import BackendServer, NodeState, new_state

DATA_CENTRE = "dc"
LOCAL_NODE, PEER_NODE = "127.0.0.1:7401", "127.0.0.2:7401"


class DiscardingPeers:
    """Peers that discard poison request reports."""

    def channel(self, node: str) -> "DiscardingPeers":
        return self

    async def send_poison_reports(self, reports: tuple[CrashReport, ...]) -> None:
        return


def new_node_state(
    section: str,
    backend: BackendServer,
    slots: int,
    servers: Iterable[str] = (LOCAL_NODE,),
    **settings,
) -> NodeState:
    """Return the state of a node whose local server belongs to the only service of a section."""
    policy = parse_section(Section("a", 1, section)).ok
    (service,) = policy.services
    given = {
        "address": LOCAL_NODE.split(":")[0],
        "data_centre": DATA_CENTRE,
        "service": service,
        "platform_url": "",
    }
    node = new_state(
        normalise_settings(given | settings).ok, SystemClock(), DirectNetwork(), backend
    )
    node.document = build_document([policy])
    node.admission.slots = node.admission.limit = slots
    for server in servers:
        add_server(node, server)
    return node


def add_server(node: NodeState, server: str) -> None:
    """Add a server of the node's service to its routing table."""
    service = node.settings.service
    node.routing.servers[server] = ServerLoad(server, service, DATA_CENTRE, 0, reported_limit=10)
