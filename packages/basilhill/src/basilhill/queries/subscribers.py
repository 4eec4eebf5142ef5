"""Choose the nodes of a data centre that read the platform's store for the others.

If each node of a large fleet followed the store by itself, the calls to the store would grow with
the number of nodes times the number of changes. Rendezvous hashing over the listed VMs needs no
election: nodes with different lists choose different subscribers, which costs calls and nothing
else.
"""

from heapq import nsmallest

from basilhill.backends import BackendDirectory
from basilhill.queries.cohorts import hash_of

MIN_SUBSCRIBERS = 1
# Bounds the streams and the bytes that a subscriber sends for each change.
NODES_PER_SUBSCRIBER = 64
# Further nodes, in order, that a node asks if no subscriber responds.
SUBSTITUTES = 2


def candidate_hosts(directory: BackendDirectory, data_centre: str) -> set[str]:
    """Return the hosts of the VMs of a data centre whose nodes may read the store for others."""
    return {
        entry.host
        for entry in directory.entries.values()
        if entry.data_centre == data_centre and not entry.draining
    }


def subscriber_hosts(directory: BackendDirectory, data_centre: str) -> list[str]:
    """Return the hosts of the subscribers of a data centre and of their substitutes, in order."""
    hosts = candidate_hosts(directory, data_centre)
    return nsmallest(subscriber_count(len(hosts)) + SUBSTITUTES, hosts, key=hash_of)


def subscriber_count(nodes: int) -> int:
    """Return how many of the nodes of a data centre read the store."""
    return max(MIN_SUBSCRIBERS, -(-nodes // NODES_PER_SUBSCRIBER))


def is_subscriber(directory: BackendDirectory, data_centre: str, host: str) -> bool:
    """Return whether the node on a host reads the store by itself."""
    hosts = candidate_hosts(directory, data_centre)
    if not hosts - {host}:
        return True
    return host in nsmallest(subscriber_count(len(hosts)), hosts, key=hash_of)


def feed_hosts(directory: BackendDirectory, data_centre: str, host: str) -> list[str]:
    """Return the hosts that the node on a host asks for changes, in order.

    The followers of a data centre are spread evenly over its subscribers.
    """
    chosen = subscriber_hosts(directory, data_centre)
    subscribers, substitutes = chosen[:-SUBSTITUTES], chosen[-SUBSTITUTES:]
    if not subscribers:
        subscribers, substitutes = chosen, []
    first = hash_of(host) % len(subscribers) if subscribers else 0
    ordered = subscribers[first:] + subscribers[:first] + substitutes
    return [other for other in ordered if other != host]
