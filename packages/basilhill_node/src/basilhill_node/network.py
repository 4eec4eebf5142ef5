"""Properties of the network between nodes that tests can vary."""

from typing import Protocol


class Network(Protocol):
    """Reachability of peers and delay to them, which tests can vary."""

    def is_reachable(self, node: str) -> bool:
        """Return whether messages to and from a peer are delivered."""
        ...

    def delay_ms(self, node: str) -> float:
        """Return the added one-way delay, in milliseconds."""
        ...


class DirectNetwork:
    """Network without partitions or added delay."""

    def is_reachable(self, node: str) -> bool:
        """Return whether messages to and from a peer are delivered."""
        return True

    def delay_ms(self, node: str) -> float:
        """Return the added one-way delay, in milliseconds."""
        return 0.0
