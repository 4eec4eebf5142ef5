"""The network between nodes, as far as tests vary it."""

from typing import Protocol


class Network(Protocol):
    """Tell how a node reaches its peers."""

    def reachable(self, node: str) -> bool:
        """Tell whether messages to and from a peer pass."""
        ...

    def delay_ms(self, node: str) -> float:
        """Return the delay to add one way, in milliseconds."""
        ...


class DirectNetwork:
    """Reach every peer with no added delay."""

    def reachable(self, node: str) -> bool:
        """Tell whether messages to and from a peer pass."""
        return True

    def delay_ms(self, node: str) -> float:
        """Return the delay to add one way, in milliseconds."""
        return 0.0
