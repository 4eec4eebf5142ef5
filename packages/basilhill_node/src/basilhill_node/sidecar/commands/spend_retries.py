"""Send requests again only within the retries that this node may spend on a service."""

from attrs import define
from basilhill.backends import BackendDirectory
from basilhill.clocks import Clock
from basilhill.commands.retry_quota import (
    count_expected_retries,
    count_request,
    record_arrival,
    spend_retry_quota,
)
from basilhill.queries.balancing import failure_is_common
from basilhill.queries.cohorts import place_of
from basilhill.queries.levels import admitted_share
from basilhill.retry_quota import RetryQuota

from basilhill_node.sidecar.open_requests import OpenRequest
from basilhill_node.sidecar.state import OriginState, SidecarSettings

# Part of the fleet's ratio that a node spends on its own requests. The rest covers windows that do
# not begin and end together.
RATIO_SHARE = 0.75
# Part of the fleet's minimum that all nodes share: one that restarts has forgotten what it spent.
MINIMUM_SHARE = 0.5
# Sends of one request to servers that refuse it; 8 refusals in a row at a rate of one half are
# 1 in 256.
MAX_SENDS = 8


@define(eq=False)
class RetryBudget:
    """Count the calls to each service and decide which of them are sent again."""

    settings: SidecarSettings
    origin: OriginState
    directory: BackendDirectory
    clock: Clock

    def quota(self, service: str) -> RetryQuota:
        """Return the retries that this node may send to a service."""
        quota = self.origin.quotas.get(service)
        if quota is None:
            quota = self.origin.quotas[service] = RetryQuota(
                self.settings.retry_ratio * RATIO_SHARE,
                self.settings.retry_window_ms,
                0.0,
            )
        nodes = max(1, len(self.directory.entries))
        quota.minimum = self.settings.retry_minimum * MINIMUM_SHARE / nodes
        return quota

    def count(self, opened: OpenRequest) -> bool:
        """Count a new request and the retries that it will need; return whether it may go.

        A call made by a repeated run is an arrival beyond the first for its service. One run again
        far up multiplies into several such calls, which only the nodes that make them can bound.
        """
        quota = self.quota(opened.service)
        count_request(quota, opened.arrived_ms)
        count_expected_retries(quota, opened.rank, opened.arrived_ms)
        return not opened.repeated or spend_retry_quota(quota, opened.arrived_ms)

    def record(self, opened: OpenRequest, refused: bool) -> None:
        """Record that a server took or refused a call."""
        record_arrival(self.quota(opened.service), refused)

    def may_repeat(self, opened: OpenRequest) -> bool:
        """Tell whether a request that may have run at a server may be sent to another one."""
        if not opened.route.idempotent or not opened.has_further_server():
            return False
        return self.spend(opened)

    def may_repeat_failed(self, opened: OpenRequest) -> bool:
        """Tell whether a request that failed at a server may be sent to another one.

        Failures that all servers share have their cause elsewhere.
        """
        loads, route = self.origin.loads, opened.route.name
        if failure_is_common(self.directory, loads, opened.service, route):
            return False
        return self.may_repeat(opened)

    def may_resend(self, opened: OpenRequest) -> bool:
        """Tell whether a request that a server refused may be sent again.

        While servers refuse more than the quota makes up for, the retries go to the most urgent
        actions, and to all calls of an action or none: one lost call fails the whole action.
        """
        share = admitted_share(self.quota(opened.service).level.level, opened.rank)
        if place_of(opened.metadata.action_id) >= share:
            return False
        return opened.sends < MAX_SENDS and self.spend(opened)

    def spend(self, opened: OpenRequest) -> bool:
        """Take one retry; return whether there was one."""
        return spend_retry_quota(self.quota(opened.service), self.clock.now_ms())
