"""Lending of the credit of the quota shares that this node keeps."""

from attrs import define
from basilhill.backends import BackendDirectory
from basilhill.clocks import Clock
from basilhill.commands.credits import (
    add_keeper,
    grant_credit,
    open_share,
    refill_share,
    remove_keeper,
)
from basilhill.credits import CreditGrant, CreditRequest, CreditShare
from basilhill.queries.workspaces import find_quota

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.state import ActiveConfiguration, CreditState, NodeLifecycle

# A share that is not used for this long is full again and needs no record.
UNUSED_SHARE_MS = 60_000


@define(eq=False)
class CreditKeeper:
    """Keeper of quota shares, and of the directory that says who keeps which."""

    state: CreditState
    active_configuration: ActiveConfiguration
    directory: BackendDirectory
    lifecycle: NodeLifecycle
    clock: Clock
    log: EventLog

    def grant(self, request: CreditRequest) -> CreditGrant | None:
        """Return the credit for a request, None if the configuration has no such quota."""
        quota = find_quota(self.active_configuration.configuration, request.workspace)
        if quota is None:
            return None
        now_ms = self.clock.now_ms()
        key = request.workspace, request.share
        share = self.state.shares.get(key)
        if share is None:
            since_ms = max(self.lifecycle.started_ms, self.state.keepers.changed_ms)
            share = self.state.shares[key] = open_share(quota, since_ms, now_ms)
        refill_share(share, quota, now_ms)
        grant = grant_credit(share, request)
        self.record(request, share, grant)
        return grant

    def record(self, request: CreditRequest, share: CreditShare, grant: CreditGrant) -> None:
        """Log that a share begins or ends to be short of credit."""
        if share.reported_short is not grant.trusted:
            return
        share.reported_short = not grant.trusted
        self.log.record(
            "credit",
            "short" if share.reported_short else "sufficient again",
            workspace=request.workspace,
            share=request.share,
            credit=round(share.tokens, 1),
            per_s=share.quota.per_s,
            utilisation=round(grant.utilisation, 2),
        )

    def entries_changed(self, server_ids: set[str]) -> None:
        """Add and remove the nodes of changed servers."""
        for server_id in server_ids:
            before = self.state.places.pop(server_id, None)
            if before is not None:
                self.update_member(*before)
            entry = self.directory.entries.get(server_id)
            if entry is not None:
                self.state.places[server_id] = entry.data_centre, entry.address
                self.update_member(entry.data_centre, entry.address)

    def update_member(self, data_centre: str, address: str) -> None:
        """Add or remove the node of the servers at an address; leaving servers do not count."""
        is_member = any(
            not one.draining and one.data_centre == data_centre
            for one in self.directory.newest_by_address.get(address, ())
        )
        change = add_keeper if is_member else remove_keeper
        change(self.state.keepers, data_centre, address.rpartition(":")[0], self.clock.now_ms())

    def expire_unused(self) -> None:
        """Drop the shares that nobody has asked for credit."""
        oldest_ms = self.clock.now_ms() - UNUSED_SHARE_MS
        for key, share in tuple(self.state.shares.items()):
            if share.updated_ms < oldest_ms:
                del self.state.shares[key]
