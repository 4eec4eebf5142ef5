"""Pool of outgoing peer streams."""

import asyncio

from attrs import define, field
from basilhill.commands.fleet import remove_lease

from basilhill_node.peers import PeerClient
from basilhill_node.state import NodeState


@define(eq=False)
class PeerClients:
    """Pool with one client for each peer."""

    node: NodeState
    clients: dict[str, PeerClient] = field(factory=dict)
    tasks: dict[str, asyncio.Task] = field(factory=dict)

    def channel(self, node: str) -> PeerClient:
        """Return the client of a peer, opened on demand."""
        client = self.clients.get(node)
        if client is None:
            client = self.clients[node] = PeerClient(
                self.node, node, last_touch_ms=self.node.clock.now_ms()
            )
            self.tasks[node] = self.node.spawn(client.run())
        return client

    def close(self, node: str) -> None:
        """Close the stream to a peer."""
        self.clients.pop(node, None)
        task = self.tasks.pop(node, None)
        if task is not None:
            task.cancel()
        remove_lease(self.node.fleet, self.node.routing, node)

    def close_idle(self) -> None:
        """Close the streams whose idle timeout has passed."""
        now_ms = self.node.clock.now_ms()
        for peer in [peer for peer, client in self.clients.items() if client.is_idle(now_ms)]:
            self.close(peer)
