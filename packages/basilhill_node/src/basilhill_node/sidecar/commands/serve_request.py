"""Serving of requests from clients and from the local backend server, as their origin."""

from typing import Any

from attrs import asdict, define
from basilhill.clocks import Clock
from basilhill.commands.fair_shares import fair_chance, record_utilisation
from basilhill.commands.levels import record_called
from basilhill.configuration import Configuration, Route
from basilhill.fair_shares import UtilisationSample
from basilhill.outcomes import (
    CallReply,
    Outcome,
    Reason,
    Refusal,
    not_run,
)
from basilhill.queries.configuration import choose_service, find_route
from basilhill.queries.fair_shares import AdmissionChance
from basilhill.queries.levels import admitted_share, route_level
from basilhill.queries.workspaces import authenticate, request_rank
from basilhill.workspaces import Workspace
from expression import Error, Ok, Result

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.commands.borrow_credits import CreditBorrower
from basilhill_node.sidecar.commands.dispatch_request import RequestDispatcher
from basilhill_node.sidecar.commands.execute_call import CallExecutor
from basilhill_node.sidecar.commands.send_call import (
    SERVER_ERROR,
)
from basilhill_node.sidecar.commands.spend_retries import RetryBudget
from basilhill_node.sidecar.dialect import (
    CallerIdentity,
    Dialect,
    MalformedMetadata,
    RequestMetadata,
)
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.open_requests import OpenRequest, RoutingBasis
from basilhill_node.sidecar.state import (
    ActiveConfiguration,
    OriginState,
    StoreView,
)

# Share of a route's target latency that a customer request may wait for a slot.
WAIT_LIMIT_SHARE = 1 / 4
# Deadline of a request without one, and wait limit of calls made by running requests.
MAX_DEADLINE_MS = 60_000
NO_ROUTE = "none"
# Retry delay sent to a client that a closing node refuses; the client finds another node by then.
CLOSING_RETRY_MS = 50


@define(eq=False)
class Origin:
    """Origin of requests, which identifies, routes and admits them."""

    origin: OriginState
    active_configuration: ActiveConfiguration
    view: StoreView
    executor: CallExecutor
    dispatcher: RequestDispatcher
    retries: RetryBudget
    credits: CreditBorrower
    dialect: Dialect
    metrics: Metrics
    clock: Clock

    async def serve(self, request: HttpRequest) -> HttpResponse:
        arrived_ms = self.clock.now_ms()
        metadata = self.dialect.decode_metadata(request)
        if isinstance(metadata, MalformedMetadata):
            self.executor.log.record("serve", "rejected", problem=metadata.problem)
            return HttpResponse(400, body=metadata.problem.encode())
        basis = self.routing_basis(arrived_ms)
        if (
            self.executor.lifecycle.closing
            and metadata.parent_id not in self.executor.state.running
        ):
            # A request started now may still be running when the node is killed.
            refusal = not_run(Reason.LEAVING, "the node is stopping", CLOSING_RETRY_MS)
            return self.finish(metadata, Error(refusal), arrived_ms, basis)
        self.origin.open_requests += 1
        try:
            return await self.serve_decoded(request, metadata, arrived_ms, basis)
        finally:
            self.origin.open_requests -= 1

    async def serve_decoded(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        arrived_ms: int,
        basis: RoutingBasis,
    ) -> HttpResponse:
        """Serve a request with decoded metadata."""
        configuration = self.active_configuration.configuration
        if configuration is None:
            refusal = not_run(Reason.NO_SERVER, "no configuration is known yet", 500)
            return self.finish(metadata, Error(refusal), arrived_ms, basis)
        route = find_route(configuration, metadata.host, request.path)
        if route is None:
            refusal = not_run(Reason.UNKNOWN_CALL, f"no route for {metadata.host}{request.path}")
            return self.finish(metadata, Error(refusal), arrived_ms, basis)
        identified = self.identify(configuration, route, metadata)
        if identified.is_error():
            return self.finish(metadata, Error(identified.error), arrived_ms, basis)
        opened = self.open_request(
            request, metadata, configuration, route, identified.ok, arrived_ms
        )
        outcome = await self.serve_opened(opened)
        return self.finish(metadata, outcome, arrived_ms, basis, opened)

    def identify(
        self, configuration: Configuration, route: Route, metadata: RequestMetadata
    ) -> Result[Workspace | None, Refusal]:
        """Return the workspace of a request, or a refusal; calls of running requests have none."""
        if metadata.parent_id in self.executor.state.running:
            return Ok(None)
        if (
            configuration.workspaces is not None
            and not route.public
            and metadata.parent_id is not None
            and metadata.credentials.key is None
        ):
            # The node has restarted, or the request that makes the call has ended.
            text = f"request {metadata.parent_id} does not run here"
            return Error(not_run(Reason.PARENT_GONE, text, CLOSING_RETRY_MS))
        return authenticate(configuration, route, metadata.credentials)

    async def serve_opened(self, opened: OpenRequest) -> Outcome:
        """Return the outcome of a request with its inputs, within its retries, level and quota."""
        refusal = (
            self.retry_refusal(opened)
            or self.level_refusal(opened)
            or await self.credits.admit(opened)
        )
        if refusal is not None:
            return Error(refusal)
        outcome = await self.dispatcher.dispatch(opened)
        self.credits.give_back(opened, outcome)
        return outcome

    def routing_basis(self, now_ms: int) -> RoutingBasis:
        """Return what this node knows now of the configuration by which it routes."""
        active = self.active_configuration
        return RoutingBasis(
            active.version, now_ms - active.applied_ms, now_ms - self.view.verified_ms
        )

    def open_request(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        configuration: Configuration,
        route: Route,
        workspace: Workspace | None,
        arrived_ms: int,
    ) -> OpenRequest:
        """Return the record of a request with its service, deadline, rank and admitted share."""
        number = self.origin.splits.get(route.name, 0)
        self.origin.splits[route.name] = number + 1
        service = choose_service(route, number, self.origin.split_offset)
        client_timeout_ms = (
            metadata.deadline_ms if metadata.deadline_ms is not None else MAX_DEADLINE_MS
        )
        deadline_ms = arrived_ms + client_timeout_ms
        ends_ms = min(deadline_ms, arrived_ms + route.timeout_ms)
        parent = self.executor.state.running.get(metadata.parent_id) if metadata.parent_id else None
        if parent is None:
            rank, depth, repeated = request_rank(configuration, route, workspace), 0, False
            level = route_level(self.origin.levels, route.name, arrived_ms)
            admission = self.admission(workspace, rank, admitted_share(level, rank), arrived_ms)
            wait_limit_ms = int(route.target_ms * WAIT_LIMIT_SHARE)
        else:
            # A call made by an admitted request may wait until its deadline, since a refusal would
            # fail the whole customer action.
            record_called(self.origin.levels, parent.route, route.name)
            rank, depth, wait_limit_ms = parent.rank, parent.depth + 1, MAX_DEADLINE_MS
            repeated, admission = parent.repeated, AdmissionChance(1.0, parent.share)
        is_checked = configuration.workspaces is not None
        identity = CallerIdentity(workspace.name if workspace else "", is_checked)
        return OpenRequest(
            request,
            metadata,
            route,
            service,
            arrived_ms,
            deadline_ms,
            ends_ms,
            rank,
            depth,
            repeated,
            wait_limit_ms,
            admission.share,
            admission.chance,
            identity,
            workspace,
        )

    def admission(
        self, workspace: Workspace | None, rank: int, share: float, now_ms: int
    ) -> AdmissionChance:
        """Return the chance of a customer request; workspaces share what their rank may have."""
        if workspace is None:
            return AdmissionChance(share, share)
        sample = self.origin.utilisations.get(rank)
        if sample is None:
            sample = self.origin.utilisations[rank] = UtilisationSample()
        utilisation = self.credits.utilisation(workspace)
        record_utilisation(sample, utilisation)
        return fair_chance(sample, utilisation, share, now_ms)

    def retry_refusal(self, opened: OpenRequest) -> Refusal | None:
        """Count a request; return a refusal for a repeated run's call beyond the retry budget."""
        if self.retries.count(opened):
            return None
        text = f"no retries are left for {opened.service} and the calling run is a repeat"
        return not_run(Reason.OVERLOADED, text, self.dispatcher.retry_after_ms(opened))

    def level_refusal(self, opened: OpenRequest) -> Refusal | None:
        """Return a refusal if the admission level excludes a customer request, else None."""
        if opened.depth:
            return None
        if self.origin.random.random() < opened.chance:
            return None
        text = f"servers have room for {opened.chance:.2f} of the requests of rank {opened.rank}"
        return not_run(Reason.OVERLOADED, text, self.dispatcher.retry_after_ms(opened))

    def finish(
        self,
        metadata: RequestMetadata,
        outcome: Outcome,
        arrived_ms: int,
        basis: RoutingBasis,
        opened: OpenRequest | None = None,
    ) -> HttpResponse:
        """Record and log the outcome of a request and return the HTTP response."""
        took_ms = self.clock.now_ms() - arrived_ms
        retries = max(0, opened.sends - 1) if opened else 0
        route = opened.route.name if opened else NO_ROUTE
        self.metrics.record_action(route, CallReply(outcome, retries), took_ms * 1000)
        if opened is not None and opened.workspace is not None:
            self.metrics.record_workspace(opened.workspace.name, outcome)
        if outcome.is_ok():
            answer = outcome.ok
            event = "answered" if answer.status < SERVER_ERROR else "server failed"
            if self.executor.log.should_log("serve", event):
                result_fields = {"status": answer.status, "took_ms": took_ms}
                self.record(event, metadata, basis, opened, result_fields)
            return self.dialect.encode_answer(answer, metadata.request_id)
        refusal = outcome.error
        event, reason = refusal.execution_status.value, refusal.reason.value
        if self.executor.log.should_log("serve", event, reason):
            result_fields = {"reason": reason, "problem": refusal.text, "took_ms": took_ms}
            self.record(event, metadata, basis, opened, result_fields)
        return self.dialect.encode_refusal(refusal, metadata.request_id)

    def record(
        self,
        event: str,
        metadata: RequestMetadata,
        basis: RoutingBasis,
        opened: OpenRequest | None,
        result_fields: dict[str, Any],
    ) -> None:
        """Log the outcome of a request with the inputs of the decision."""
        result_fields |= asdict(basis)
        if opened is not None:
            result_fields |= {
                "route": opened.route.name,
                "service": opened.service,
                "rank": opened.rank,
                "depth": opened.depth,
                "admitted_share": round(opened.chance, 2),
                "workspace": opened.identity.workspace,
                "servers": sorted(opened.tried),
                "reached": len(opened.reached),
                "sends": opened.sends,
                "refusals": opened.refused,
                "slow_servers": opened.slow,
                "crossing": opened.crossing,
                "left_ms": opened.ends_ms - self.clock.now_ms(),
            }
        self.executor.log.record("serve", event, metadata.request_id, **result_fields)
