"""Metrics of a sidecar node in the Prometheus exposition format."""

from collections.abc import Iterator

from basilhill.queries.backends import count_stated_leaving
from basilhill.queries.slots import shed_rate_at

from basilhill_node.sidecar.queries.readiness import is_ready
from basilhill_node.sidecar.state import STORE, SidecarState

GAUGE_HELP = {
    "ready": "1 if the node takes requests",
    "store_reachable": "1 if the platform's store answered last",
    "reads_store": "1 if the node reads the platform's store itself, 0 if it follows a feed",
    "feed_followers": "Nodes that follow the feed of this node",
    "store_age_ms": "Time since the store's last answer",
    "store_verified_age_ms": "Age of the last proof that all changes of the store are applied",
    "store_era": "Era of the store, which rises when it comes back from an older copy",
    "store_revision": "Revision of the store up to which all changes are applied",
    "configuration_version": "Version of the configuration in force",
    "backend_servers": "Backend servers listed",
    "leaving_servers": "Backend servers that stated in responses that they leave",
    "open_requests": "Requests of which this node is the origin",
    "slots": "Slots of the own backend server",
    "slots_in_flight": "Slots in use",
    "shed_rate": "Share of the calls that the own server refuses although it has a free slot",
    "slots_queued": "Calls that wait for a slot",
    "rate_limit_per_s": "Calls per second that the own server takes, -1 if it states no limit",
    "admission_level": "Ranks below it are admitted by the own server",
    "retries_in_window": "Retries sent within the budget window, all services",
    "message_bytes": "Bytes of messages above 64 KB that this node holds",
    "message_bytes_limit": "Bytes beyond which messages are read one after the other",
    "messages_paused": "Incomplete messages whose reading waits for memory",
    "backend_connections": "Connections opened to the own backend server so far",
    "quota_shares": "Shares of quotas that this node keeps and was asked for",
    "quota_shares_short": "Those of them that are short of credit",
    "quota_on_trust": "Requests of this node that no keeper has acknowledged yet",
}


def gauge_values(state: SidecarState) -> dict[str, float]:
    """Return the current values of the gauges by name."""
    slots, account = state.executor.slots, state.memory.account
    return {
        "ready": is_ready(state.lifecycle, state.active_configuration),
        "store_reachable": state.store.reachable,
        "reads_store": state.store.source == STORE,
        "feed_followers": state.store.followers,
        "store_age_ms": state.clock.now_ms() - state.store.last_contact_ms,
        "store_verified_age_ms": state.clock.now_ms() - state.store.verified_ms,
        "store_era": state.store.position.era,
        "store_revision": state.store.revision,
        "configuration_version": state.active_configuration.version,
        "backend_servers": len(state.directory.entries),
        "leaving_servers": count_stated_leaving(state.directory),
        "open_requests": state.origin.open_requests,
        "slots": slots.slots,
        "slots_in_flight": slots.in_flight,
        "shed_rate": shed_rate_at(slots, state.clock.now_ms()),
        "slots_queued": len(slots.waiting),
        "rate_limit_per_s": slots.rate.per_s if slots.rate else -1,
        "admission_level": state.executor.level.level,
        "retries_in_window": sum(len(q.retries) for q in state.origin.quotas.values()),
        "message_bytes": account.held_bytes,
        "message_bytes_limit": account.limit_bytes,
        "messages_paused": sum(message.paused for message in account.reading),
        "backend_connections": state.executor.pool.opened,
        "quota_shares": len(state.credits.shares),
        "quota_shares_short": sum(one.reported_short for one in state.credits.shares.values()),
        "quota_on_trust": sum(one.owed for one in state.credits.accounts.values()),
    }


def exposition(state: SidecarState) -> bytes:
    """Return all metrics in the text format."""
    # Imported on the first request, because the library takes 13 MB that most nodes never need.
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import GaugeMetricFamily

    from basilhill_node.queries.action_metrics import (
        action_counters,
        client_refusal_counter,
        latency_summary,
    )
    from basilhill_node.queries.crossing_metrics import crossing_counters
    from basilhill_node.queries.workspace_metrics import workspace_counters

    class Collector:
        """Collector that passes the metrics of this node to the library."""

        def collect(self) -> Iterator:
            for name, value in gauge_values(state).items():
                help_text = GAUGE_HELP[name]
                yield GaugeMetricFamily(f"basilhill_{name}", help_text, value=float(value))
            yield from action_counters(state.metrics)
            yield latency_summary(state.metrics)
            yield workspace_counters(state.metrics)
            yield client_refusal_counter(state.metrics)
            yield from crossing_counters(state.metrics)

    registry = CollectorRegistry()
    registry.register(Collector())
    return generate_latest(registry)
