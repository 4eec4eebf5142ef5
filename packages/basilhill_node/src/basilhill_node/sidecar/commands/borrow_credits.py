"""Credit for the requests of workspaces with a quota, at their origin."""

import asyncio
from contextlib import suppress

from attrs import define
from basilhill.clocks import Clock
from basilhill.commands.credits import (
    add_lent_credit,
    apply_grant,
    count_request,
    take_lent_credit,
    take_trust,
)
from basilhill.credits import SHARES, CreditAccount, CreditGrant, CreditRequest
from basilhill.outcomes import ExecutionStatus, Outcome, Reason, Refusal, not_run
from basilhill.queries.credits import (
    askable_shares,
    credit_wait_ms,
    keeper_of,
    reported_share,
    share_data_centre,
    trust_allowance,
    wanted_credit,
)
from basilhill.workspaces import Workspace

from basilhill_node.sidecar.commands.keep_credits import CreditKeeper
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.open_requests import OpenRequest
from basilhill_node.sidecar.peer_streams import PeerStreams
from basilhill_node.sidecar.state import CreditState, NodeLifecycle, OriginState, SidecarSettings

# A keeper responds within a round trip of some ms; on a slow VM it may take this long.
ASK_TIMEOUT_S = 0.2
# A keeper that did not respond is not asked for this time while others are.
SILENT_MS = 1_000
# Pause before requests on trust are reported again, after no keeper took the report.
REPORT_AGAIN_S = 0.25
# Retry delay for a client whose workspace has no keeper that responds.
NO_KEEPER_RETRY_MS = 300
# Returning clients are spread over this multiple of the time until there is credit.
RETRY_SPREAD = 1.5
UNUSED_ACCOUNT_MS = 60_000


@define(eq=False)
class CreditBorrower:
    """Borrower of credit for the requests that begin at this node."""

    settings: SidecarSettings
    state: CreditState
    origin: OriginState
    lifecycle: NodeLifecycle
    keeper: CreditKeeper
    peers: PeerStreams
    clock: Clock
    log: EventLog

    async def admit(self, opened: OpenRequest) -> Refusal | None:
        """Spend credit for a request; return a refusal if its workspace has none in time."""
        workspace = opened.workspace
        if workspace is None or workspace.quota is None:
            return None
        now_ms = self.clock.now_ms()
        account = self.find_or_add_account(workspace)
        count_request(account, now_ms)
        if take_lent_credit(account, now_ms):
            return None
        if take_trust(account, self.trust_allowance(workspace, now_ms)):
            self.report(workspace, account)
            return None
        return await self.borrow(opened, workspace, account)

    def give_back(self, opened: OpenRequest, outcome: Outcome) -> None:
        """Return the credit of a request that did not run to the next one of its workspace."""
        workspace = opened.workspace
        if workspace is None or workspace.quota is None or outcome.is_ok():
            return
        if outcome.error.execution_status is ExecutionStatus.NOT_RUN:
            add_lent_credit(self.find_or_add_account(workspace), 1, self.clock.now_ms())

    def utilisation(self, workspace: Workspace) -> float:
        """Return the demand of a workspace relative to its quota, 1 if it is unknown."""
        account = self.state.accounts.get(workspace.name)
        return 1.0 if account is None else account.utilisation

    def find_or_add_account(self, workspace: Workspace) -> CreditAccount:
        account = self.state.accounts.get(workspace.name)
        if account is None:
            account = self.state.accounts[workspace.name] = CreditAccount(workspace.quota)
            account.order = self.shares_by_distance(workspace.name)
        account.quota = workspace.quota
        return account

    def shares_by_distance(self, workspace: str) -> list[int]:
        """Return the shares kept in this data centre, then the others, each part in any order."""
        order = self.origin.random.sample(range(SHARES), SHARES)
        own, keepers = self.settings.data_centre, self.state.keepers
        return sorted(order, key=lambda one: share_data_centre(keepers, workspace, one) != own)

    def trust_allowance(self, workspace: Workspace, now_ms: int) -> int:
        """Return the requests that may start before a keeper acknowledges them.

        A node that has just started does not know what it has on trust.
        """
        bounds = self.settings.quota_bounds
        if now_ms - self.lifecycle.started_ms < bounds.window_ms:
            return 0
        nodes = self.state.keepers.size
        return trust_allowance(workspace.quota, bounds, workspace.name, self.settings.node, nodes)

    def report(self, workspace: Workspace, account: CreditAccount) -> None:
        """Start a task that reports the requests on trust, unless one does."""
        if not account.settling:
            account.settling = True
            self.lifecycle.spawn(self.settle(workspace, account))

    async def settle(self, workspace: Workspace, account: CreditAccount) -> None:
        """Report requests on trust to keepers until all are acknowledged."""
        try:
            while account.owed:
                now_ms = self.clock.now_ms()
                wanted, share = wanted_credit(account, now_ms) // 2, reported_share(account, now_ms)
                request = self.new_request(workspace, account, share, account.owed, wanted, 0)
                grant = await self.ask(account, request)
                if grant is None:
                    account.short_until_ms[share] = self.clock.now_ms() + SILENT_MS
                    await asyncio.sleep(REPORT_AGAIN_S)
                else:
                    self.keep(account, grant)
                    await self.find_trust(workspace, account)
        except Exception as error:
            self.log.record("credit", "report failed", problem=repr(error))
        finally:
            account.settling = False

    async def find_trust(self, workspace: Workspace, account: CreditAccount) -> None:
        """Ask the other keepers whether they trust, before the next request has to."""
        for share in askable_shares(account, self.clock.now_ms(), 0):
            if account.trusted:
                return
            if account.short_until_ms[share] <= self.clock.now_ms():
                await self.ask(account, self.new_request(workspace, account, share, 0, 0, 0))

    async def borrow(
        self, opened: OpenRequest, workspace: Workspace, account: CreditAccount
    ) -> Refusal | None:
        """Ask keepers for credit, one after the other; return a refusal if none lends any."""
        until_ms = min(opened.arrived_ms + opened.wait_limit_ms, opened.ends_ms)
        answered = False
        for share in askable_shares(account, self.clock.now_ms(), self.left_ms(until_ms)):
            wanted = 1 + wanted_credit(account, self.clock.now_ms()) // 2
            left_ms = self.left_ms(until_ms)
            request = self.new_request(workspace, account, share, 0, wanted, left_ms)
            grant = await self.ask(account, request)
            if take_lent_credit(account, self.clock.now_ms()):
                # Another request has borrowed more than it needed in the meantime.
                self.keep(account, grant)
                return None
            if grant is None:
                continue
            answered = True
            if grant.lent:
                await asyncio.sleep(grant.wait_ms / 1000)
                self.keep(account, grant, spent=1)
                return None
        account.refused += 1
        return self.refusal(workspace, account, answered)

    def keep(self, account: CreditAccount, grant: CreditGrant | None, spent: int = 0) -> None:
        """Keep the credit of a grant that its request does not spend, unless it is for later."""
        left = grant.lent - spent if grant is not None and (spent or not grant.wait_ms) else 0
        if left > 0:
            add_lent_credit(account, left, self.clock.now_ms())

    def left_ms(self, until_ms: int) -> int:
        return max(0, until_ms - self.clock.now_ms())

    def refusal(self, workspace: Workspace, account: CreditAccount, answered: bool) -> Refusal:
        """Return the refusal of a request for which no keeper lends credit."""
        wait_ms = credit_wait_ms(account, self.clock.now_ms())
        if not answered and not wait_ms:
            text = f"no keeper of the quota of {workspace.name} responds"
            return not_run(Reason.UNREACHABLE, text, NO_KEEPER_RETRY_MS)
        text = (
            f"{workspace.name} uses {account.utilisation:.2f} of its quota"
            f" of {workspace.quota.per_s:g} requests per second"
        )
        spread = self.origin.random.uniform(1.0, RETRY_SPREAD)
        return not_run(Reason.QUOTA_EXCEEDED, text, int(wait_ms * spread) + 1)

    def new_request(
        self,
        workspace: Workspace,
        account: CreditAccount,
        share: int,
        spent: int,
        wanted: int,
        wait_limit_ms: int,
    ) -> CreditRequest:
        """Return a request to the keeper of a share, with what was refused since the last one."""
        refused, account.refused = account.refused, 0
        return CreditRequest(workspace.name, share, spent, wanted, refused, wait_limit_ms)

    async def ask(self, account: CreditAccount, request: CreditRequest) -> CreditGrant | None:
        """Return the grant of the keeper of a share, None if it does not respond in time."""
        address = keeper_of(self.state.keepers, request.workspace, request.share)
        if address is None:
            return None
        if address == self.settings.backend_address.rpartition(":")[0]:
            grant = self.keeper.grant(request)
        else:
            grant = await self.ask_peer(address, request)
        if grant is not None:
            apply_grant(account, request, grant, self.clock.now_ms())
        return grant

    async def ask_peer(self, address: str, request: CreditRequest) -> CreditGrant | None:
        """Return the grant of another node; one that does not respond is not asked for a while."""
        if self.state.silent_until_ms.get(address, 0) > self.clock.now_ms():
            return None
        stream = self.peers.stream(f"{address}:{self.settings.peer_port}")
        with suppress(TimeoutError):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await stream.request_credit(request)
        self.state.silent_until_ms[address] = self.clock.now_ms() + SILENT_MS
        self.log.record("credit", "keeper does not respond", keeper=address)
        return None

    def expire_unused(self) -> None:
        """Drop the accounts that are not used, and the keepers that may be asked again."""
        now_ms = self.clock.now_ms()
        for name, account in tuple(self.state.accounts.items()):
            if not account.owed and now_ms - account.used_ms > UNUSED_ACCOUNT_MS:
                del self.state.accounts[name]
        silent = self.state.silent_until_ms
        for address in [one for one, until_ms in silent.items() if until_ms <= now_ms]:
            del silent[address]
