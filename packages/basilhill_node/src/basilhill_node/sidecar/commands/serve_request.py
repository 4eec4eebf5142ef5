"""Serving of requests from clients and from the local backend server, as their origin."""

import asyncio
from typing import Any

from attrs import asdict, define, evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import Choice
from basilhill.clocks import Clock
from basilhill.commands.balancing import find_candidates, record_choice
from basilhill.commands.fair_shares import fair_chance, record_utilisation
from basilhill.commands.levels import record_called
from basilhill.configuration import Configuration, Route
from basilhill.fair_shares import UtilisationSample
from basilhill.outcomes import (
    CallReply,
    ExecutionStatus,
    Outcome,
    Reason,
    Refusal,
    may_have_run,
    not_run,
)
from basilhill.queries.backends import deregistered_entries, ready_entries
from basilhill.queries.balancing import choose_backend, crossing_cost_ms
from basilhill.queries.configuration import choose_service, find_route
from basilhill.queries.fair_shares import AdmissionChance
from basilhill.queries.levels import admitted_share, route_level
from basilhill.queries.workspaces import authenticate, request_rank
from basilhill.workspaces import Workspace
from expression import Error, Ok, Result

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.commands.borrow_credits import CreditBorrower
from basilhill_node.sidecar.commands.execute_call import GATEWAY_TIMEOUT, CallExecutor
from basilhill_node.sidecar.commands.send_call import (
    SERVER_ERROR,
    SERVER_REFUSALS,
    CallSender,
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
    SidecarSettings,
    StoreView,
)

# Number of executors that may refuse a call for lack of a free slot before the client is refused.
MAX_SLOT_REFUSALS = 2
# Number of executors that may refuse a call because their server is slow. If 4 in 10 servers are
# slow, 1 call in 40 meets four of them in a row.
MAX_SLOW_REFUSALS = 4
# Share of a route's target latency that a customer request may wait for a slot.
WAIT_LIMIT_SHARE = 1 / 4
# Deadline of a request without one, and wait limit of calls made by running requests.
MAX_DEADLINE_MS = 60_000
NO_ROUTE = "none"
# Retry delay sent to a client that a closing node refuses; the client finds another node by then.
CLOSING_RETRY_MS = 50
# Range of the retry delay for clients refused because of load, in shares of the time from arrival
# to the client's deadline. Delays are spread evenly over the range.
RETRY_AFTER_SHARE = (0.04, 0.12)


@define(eq=False)
class Origin:
    """Origin of requests, which routes them, chooses servers and retries within the budget."""

    settings: SidecarSettings
    origin: OriginState
    active_configuration: ActiveConfiguration
    view: StoreView
    directory: BackendDirectory
    executor: CallExecutor
    sender: CallSender
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
        outcome = await self.dispatch(opened)
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
        return not_run(Reason.OVERLOADED, text, self.retry_after_ms(opened))

    def level_refusal(self, opened: OpenRequest) -> Refusal | None:
        """Return a refusal if the admission level excludes a customer request, else None."""
        if opened.depth:
            return None
        if self.origin.random.random() < opened.chance:
            return None
        text = f"servers have room for {opened.chance:.2f} of the requests of rank {opened.rank}"
        return not_run(Reason.OVERLOADED, text, self.retry_after_ms(opened))

    def retry_after_ms(self, opened: OpenRequest) -> int:
        """Return the retry delay of a refused client, short enough to be served by its deadline."""
        client_timeout_ms = opened.deadline_ms - opened.arrived_ms
        return int(client_timeout_ms * self.origin.random.uniform(*RETRY_AFTER_SHARE)) + 1

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

    async def dispatch(self, opened: OpenRequest) -> Outcome:
        """Send a request to servers; when its timeout expires, report whether it may have run."""
        try:
            async with asyncio.timeout((opened.ends_ms - self.clock.now_ms()) / 1000) as timeout:
                self.origin.timeouts.add(timeout)
                try:
                    return await self.try_servers(opened)
                finally:
                    self.origin.timeouts.discard(timeout)
        except TimeoutError:
            if opened.may_have_run():
                return Error(may_have_run(Reason.DEADLINE, "no answer in time"))
            text = "no server accepted the request in time"
            return Error(not_run(Reason.DEADLINE, text, self.retry_after_ms(opened)))

    def expire_all(self) -> None:
        """Expire the timeouts of all open requests, so that each client still gets a response."""
        now_s = asyncio.get_running_loop().time()
        for timeout in tuple(self.origin.timeouts):
            timeout.reschedule(now_s)

    async def try_servers(self, opened: OpenRequest) -> Outcome:
        """Send a request to one server after another, until one responds or no retry is allowed."""
        last_refusal = not_run(Reason.NO_SERVER, f"no server of {opened.service} is known", 500)
        while True:
            entry = self.next_server(opened)
            if entry is None:
                return self.final_outcome(opened, last_refusal)
            outcome = await self.sender.send(opened, entry)
            if outcome.is_ok():
                if outcome.ok.status < SERVER_ERROR or outcome.ok.status == GATEWAY_TIMEOUT:
                    return outcome
                opened.failed = outcome.ok
                if not self.retries.may_repeat_failed(opened):
                    return outcome
                continue
            last_refusal = outcome.error
            if last_refusal.execution_status is ExecutionStatus.MAY_HAVE_RUN:
                opened.uncertain = last_refusal
                if not self.retries.may_repeat(opened):
                    return self.final_outcome(opened, last_refusal)
            elif last_refusal.reason in SERVER_REFUSALS:
                if not self.retries.may_resend(opened):
                    return self.final_outcome(opened, last_refusal)
            elif (
                last_refusal.reason is Reason.SUSPECT
                or opened.refused >= MAX_SLOT_REFUSALS
                or opened.slow >= MAX_SLOW_REFUSALS
            ):
                return self.final_outcome(opened, last_refusal)

    def next_server(self, opened: OpenRequest) -> BackendEntry | None:
        """Return an untried server if the route allows one more, else one that refused before."""
        entry = None
        if opened.may_reach_another():
            entry = self.choose(opened, frozenset(opened.tried))
        if entry is None and opened.refused_by:
            listed = ready_entries(self.directory, opened.service)
            others = frozenset(e.server_id for e in listed) - opened.refused_by
            entry = self.choose(opened, others)
        if entry is None and not opened.tried:
            # The VMs of all servers may be partitioned from the store, so that their entries have
            # expired; their nodes know.
            self.sender.contact_nodes(deregistered_entries(self.directory, opened.service))
        return entry

    def choose(self, opened: OpenRequest, excluded: frozenset[str]) -> BackendEntry | None:
        """Return the best server of the service that is not excluded, None if there is none."""
        now_ms, loads, route = self.clock.now_ms(), self.origin.loads, opened.route.name
        candidates = find_candidates(loads, self.directory, opened.service, now_ms)
        body_bytes = len(opened.request.body)
        cost_ms = crossing_cost_ms(loads, self.settings.crossing_cost, route, body_bytes)
        choice = choose_backend(
            candidates, loads, route, cost_ms, now_ms, self.origin.random, excluded
        )
        if choice is None:
            return None
        record_choice(candidates, choice)
        self.record_crossing(opened, choice)
        return choice.entry

    def record_crossing(self, opened: OpenRequest, choice: Choice) -> None:
        """Count a call that leaves the data centre, and keep the reason for the log."""
        if choice.crossing:
            opened.crossing = f"{choice.crossing}, {choice.saved_ms:.0f} ms"
            self.metrics.record_crossing(choice.crossing, len(opened.request.body))

    def final_outcome(self, opened: OpenRequest, last_refusal: Refusal) -> Outcome:
        """Return the outcome of a request that is not sent to any further server."""
        if opened.failed is not None:
            return Ok(opened.failed)
        if (
            opened.uncertain is not None
            or last_refusal.execution_status is ExecutionStatus.MAY_HAVE_RUN
        ):
            return Error(opened.uncertain or last_refusal)
        return Error(evolve(last_refusal, retry_after_ms=self.retry_after_ms(opened)))
