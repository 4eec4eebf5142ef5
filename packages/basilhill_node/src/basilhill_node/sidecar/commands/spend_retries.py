"""Decisions on retries, within the retry budget of this node for each service."""

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
from basilhill.queries.cohorts import hash_fraction
from basilhill.queries.levels import admitted_share
from basilhill.queries.ranks import retry_rank
from basilhill.retry_quota import RetryQuota

from basilhill_node.sidecar.open_requests import OpenRequest
from basilhill_node.sidecar.state import OriginState, SidecarSettings

# Part of the fleet's retry ratio that a node uses for its own requests. The rest is a margin,
# because the budget windows of the nodes do not begin and end together.
RATIO_SHARE = 0.75
# Part of the fleet's minimum that the nodes share. The rest is a margin for nodes that restart,
# which lose the count of retries that they have spent.
MINIMUM_SHARE = 0.5
# Maximum attempts of a request that servers refuse. If servers refuse half of all calls, 1 request
# in 256 gets 8 refusals in a row.
MAX_SENDS = 8


@define(eq=False)
class RetryBudget:
    """Retry budget of this node, with a quota for each service."""

    settings: SidecarSettings
    origin: OriginState
    directory: BackendDirectory
    clock: Clock

    def quota(self, service: str) -> RetryQuota:
        """Return the retry quota for a service, with its minimum for the current fleet size."""
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
        """Count a new request and its expected retries; return whether it may be sent.

        A call made by a retried request counts as a retry at its service, too. One retry near the
        root of a call graph multiplies into several such calls, and only the nodes that send them
        can limit them.
        """
        quota = self.quota(opened.service)
        count_request(quota, opened.arrived_ms)
        count_expected_retries(quota, retry_rank(opened.rank, opened.depth), opened.arrived_ms)
        return not opened.repeated or spend_retry_quota(quota, opened.arrived_ms)

    def record(self, opened: OpenRequest, refused: bool) -> None:
        """Record the arrival of a call at a backend server, and whether the server refused it."""
        record_arrival(self.quota(opened.service), refused)

    def may_repeat(self, opened: OpenRequest) -> bool:
        """Return whether a request that may have run may be retried at another server."""
        if not opened.route.idempotent or not opened.has_further_server():
            return False
        return self.spend(opened)

    def may_repeat_failed(self, opened: OpenRequest) -> bool:
        """Return whether a request that failed at a server may be retried at another one.

        If the route fails at all servers, the servers are not the cause, and no retry is sent.
        """
        loads, route = self.origin.loads, opened.route.name
        if failure_is_common(self.directory, loads, opened.service, route):
            return False
        return self.may_repeat(opened)

    def may_resend(self, opened: OpenRequest) -> bool:
        """Return whether a request that a backend server refused may be retried.

        While servers refuse more calls than the quota can retry, retries go to the most urgent
        customer actions, and to all calls of an action or none: one lost call fails the action.
        """
        rank = retry_rank(opened.rank, opened.depth)
        share = admitted_share(self.quota(opened.service).level.level, rank)
        if hash_fraction(opened.metadata.action_id) >= share:
            return False
        return opened.sends < MAX_SENDS and self.spend(opened)

    def spend(self, opened: OpenRequest) -> bool:
        """Spend one retry; return whether the quota allowed it."""
        return spend_retry_quota(self.quota(opened.service), self.clock.now_ms())
