"""Serve the requests of clients and of the own backend server from their origin."""

import asyncio
from typing import Any

from attrs import define, evolve, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.clocks import Clock
from basilhill.commands.balancing import (
    begin_send,
    end_send,
    record_answer,
    record_loss,
    record_refusal,
    record_report,
    record_time,
    target_of,
)
from basilhill.commands.levels import record_called, record_level
from basilhill.commands.retry_quota import count_request, spend_retry_quota
from basilhill.configuration import Route
from basilhill.queries.balancing import choose_backend, least_failure_rate
from basilhill.queries.configuration import find_route, split_service
from basilhill.queries.levels import admitted_share, route_level, tree_level
from basilhill.queries.ranks import call_rank
from basilhill.retry_quota import RetryQuota
from basilhill.verdicts import (
    Answer,
    CallReply,
    Outcome,
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
)
from expression import Error, Ok

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.commands.execute_call import ServerGate
from basilhill_node.sidecar.dialect import Dialect, MalformedTerms, RequestTerms
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.peer_streams import LostCall, PeerStreams
from basilhill_node.sidecar.state import ConfigurationInForce, OriginState, SidecarSettings

# Servers that may refuse a call for want of a slot before the client is told so.
GATES_TRIED = 2
# A public request waits at most this share of its target latency for a slot.
PATIENCE_SHARE = 1 / 4
# Latest time of a deadline or timeout, in ms, where neither is given.
LONGEST_MS = 60_000
SERVER_ERROR = 500
NO_ROUTE = "none"
GATEWAY_TIMEOUT = 504
# A client that reaches a node about to stop finds another one by then.
CLOSING_RETRY_MS = 50
# Refusals of a backend server itself, which count as arrivals there.
SERVER_REFUSALS = (Reason.MISDIRECTED, Reason.SERVER_REFUSED)
# A server that had no room for a call is left out for this time while others have some.
REFUSAL_MS = 50
# The entry of a server that is gone changes within three heartbeats of 1.5 s.
STALE_ENTRY_MS = 2_000
# Clients that are refused for load come back after these shares of their time, spread evenly.
RETRY_AFTER_SHARE = (0.04, 0.12)
# Part of the fleet's retry budget that nodes spend, since they start with an empty history.
QUOTA_SHARE = 0.6
# Above this share of failures at the best server of a service, its failures are not retried.
COMMON_FAILURE_RATE = 0.1


@define(eq=False)
class OpenRequest:
    """Hold one request from its arrival to its answer."""

    request: HttpRequest
    terms: RequestTerms
    route: Route
    service: str
    arrived_ms: int
    deadline_ms: int
    ends_ms: int
    rank: int
    depth: int
    repeated: bool
    patience_ms: int
    share: float
    tried: set[str] = field(factory=set)
    reached: int = 0
    refused: int = 0
    uncertain: Refusal | None = None
    failed: Answer | None = None


@define(eq=False)
class Origin:
    """Serve requests: route them, choose servers, retry what may be repeated."""

    settings: SidecarSettings
    origin: OriginState
    in_force: ConfigurationInForce
    directory: BackendDirectory
    gate: ServerGate
    peers: PeerStreams
    dialect: Dialect
    metrics: Metrics
    clock: Clock

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Serve one request to its end."""
        arrived_ms = self.clock.now_ms()
        terms = self.dialect.decode_terms(request)
        if isinstance(terms, MalformedTerms):
            self.gate.log.record("serve", "rejected", problem=terms.problem)
            return HttpResponse(400, body=terms.problem.encode())
        if self.gate.life.closing and terms.parent_id not in self.gate.gate.running:
            # What starts now may still run when the node is killed.
            refusal = not_run(Reason.LEAVING, "the node is stopping", CLOSING_RETRY_MS)
            return self.finish(terms, Error(refusal), arrived_ms)
        self.origin.open_requests += 1
        try:
            return await self.serve_terms(request, terms, arrived_ms)
        finally:
            self.origin.open_requests -= 1

    async def serve_terms(
        self, request: HttpRequest, terms: RequestTerms, arrived_ms: int
    ) -> HttpResponse:
        """Serve a request whose terms are known."""
        configuration = self.in_force.configuration
        if configuration is None:
            refusal = not_run(Reason.NO_SERVER, "no configuration is known yet", 500)
            return self.finish(terms, Error(refusal), arrived_ms)
        route = find_route(configuration, terms.host, request.path)
        if route is None:
            refusal = not_run(Reason.UNKNOWN_CALL, f"no route for {terms.host}{request.path}")
            return self.finish(terms, Error(refusal), arrived_ms)
        opened = self.open_request(request, terms, route, arrived_ms)
        refusal = self.level_refusal(opened)
        outcome = Error(refusal) if refusal else await self.dispatch(opened)
        return self.finish(terms, outcome, arrived_ms, opened)

    def open_request(
        self, request: HttpRequest, terms: RequestTerms, route: Route, arrived_ms: int
    ) -> OpenRequest:
        """Return the record of a request with its service, deadline and rank."""
        number = self.origin.splits.get(route.name, 0)
        self.origin.splits[route.name] = number + 1
        service = split_service(route, number, self.origin.split_offset)
        given_ms = terms.deadline_ms if terms.deadline_ms is not None else LONGEST_MS
        deadline_ms = arrived_ms + given_ms
        ends_ms = min(deadline_ms, arrived_ms + route.timeout_ms)
        parent = self.gate.gate.running.get(terms.parent_id) if terms.parent_id else None
        if parent is None:
            rank, depth, repeated = route.priority, 0, False
            level = route_level(self.origin.levels, route.name, arrived_ms)
            share = admitted_share(level, rank)
            patience_ms = int(route.target_ms * PATIENCE_SHARE)
        else:
            # The call of an admitted request waits as long as it may: failing it fails all.
            record_called(self.origin.levels, parent.route, route.name)
            rank, depth, patience_ms = parent.rank, parent.depth + 1, LONGEST_MS
            repeated, share = parent.repeated, parent.share
        count_request(self.quota(service), arrived_ms, repeated)
        return OpenRequest(
            request,
            terms,
            route,
            service,
            arrived_ms,
            deadline_ms,
            ends_ms,
            rank,
            depth,
            repeated,
            patience_ms,
            share,
        )

    def level_refusal(self, opened: OpenRequest) -> Refusal | None:
        """Return the refusal of a customer's request for which its servers have no room."""
        if opened.depth:
            return None
        if self.origin.random.random() < opened.share:
            return None
        text = f"servers have room for {opened.share:.2f} of the requests of rank {opened.rank}"
        return not_run(Reason.OVERLOADED, text, self.retry_after_ms(opened))

    def retry_after_ms(self, opened: OpenRequest) -> int:
        """Return when a refused client should come back: soon enough to be served in time."""
        given_ms = opened.deadline_ms - opened.arrived_ms
        return int(given_ms * self.origin.random.uniform(*RETRY_AFTER_SHARE)) + 1

    def quota(self, service: str) -> RetryQuota:
        """Return the retries that this node may send to a service."""
        quota = self.origin.quotas.get(service)
        if quota is None:
            quota = self.origin.quotas[service] = RetryQuota(
                self.settings.retry_ratio * QUOTA_SHARE,
                self.settings.retry_window_ms,
                0.0,
            )
        nodes = max(1, len(self.directory.entries))
        quota.minimum = self.settings.retry_minimum * QUOTA_SHARE / nodes
        return quota

    def finish(
        self,
        terms: RequestTerms,
        outcome: Outcome,
        arrived_ms: int,
        opened: OpenRequest | None = None,
    ) -> HttpResponse:
        """Count and log the outcome of a request and return its response."""
        took_ms = self.clock.now_ms() - arrived_ms
        retries = max(0, opened.reached - 1) if opened else 0
        route = opened.route.name if opened else NO_ROUTE
        self.metrics.record_action(route, CallReply(outcome, retries), took_ms * 1000)
        if outcome.is_ok():
            answer = outcome.ok
            event = "answered" if answer.status < SERVER_ERROR else "server failed"
            if self.gate.log.wants("serve", event):
                found = {"status": answer.status, "took_ms": took_ms}
                self.record(event, terms, opened, found)
            return self.dialect.encode_answer(answer, terms.request_id)
        refusal = outcome.error
        event, reason = refusal.verdict.value, refusal.reason.value
        if self.gate.log.wants("serve", event, reason):
            found = {"reason": reason, "problem": refusal.text, "took_ms": took_ms}
            self.record(event, terms, opened, found)
        return self.dialect.encode_refusal(refusal, terms.request_id)

    def record(
        self, event: str, terms: RequestTerms, opened: OpenRequest | None, found: dict[str, Any]
    ) -> None:
        """Log the outcome of a request with the inputs that decided it."""
        found["version"] = self.in_force.version
        if opened is not None:
            found |= {
                "route": opened.route.name,
                "service": opened.service,
                "version_age_ms": max(0, opened.arrived_ms - self.in_force.applied_ms),
                "rank": opened.rank,
                "depth": opened.depth,
                "admitted_share": round(opened.share, 2),
                "servers": sorted(opened.tried),
                "reached": opened.reached,
                "refusals": opened.refused,
                "left_ms": opened.ends_ms - self.clock.now_ms(),
            }
        self.gate.log.record("serve", event, terms.request_id, **found)

    async def dispatch(self, opened: OpenRequest) -> Outcome:
        """Send a request to servers until one answers or no further one may try."""
        try:
            async with asyncio.timeout((opened.ends_ms - self.clock.now_ms()) / 1000):
                return await self.try_servers(opened)
        except TimeoutError:
            return Error(may_have_run(Reason.DEADLINE, "no answer in time"))

    async def try_servers(self, opened: OpenRequest) -> Outcome:
        """Try servers in turn."""
        last = not_run(Reason.NO_SERVER, f"no server of {opened.service} is known", 500)
        while True:
            entry = choose_backend(
                self.directory,
                self.origin.loads,
                opened.service,
                self.clock.now_ms(),
                self.origin.random,
                frozenset(opened.tried),
            )
            if entry is None:
                return self.give_up(opened, last)
            outcome = await self.send(opened, entry)
            if outcome.is_ok():
                if outcome.ok.status < SERVER_ERROR or outcome.ok.status == GATEWAY_TIMEOUT:
                    return outcome
                opened.failed = outcome.ok
                repeatable = opened.route.idempotent and not self.failure_is_common(opened)
                if not (repeatable and self.may_repeat(opened)):
                    return outcome
                continue
            last = outcome.error
            if last.verdict is Verdict.MAY_HAVE_RUN:
                opened.uncertain = last
                if not (opened.route.idempotent and self.may_repeat(opened)):
                    return self.give_up(opened, last)
            elif last.reason in SERVER_REFUSALS:
                if not self.may_repeat(opened):
                    return self.give_up(opened, last)
            elif last.reason is Reason.SUSPECT or opened.refused >= GATES_TRIED:
                return self.give_up(opened, last)

    def give_up(self, opened: OpenRequest, last: Refusal) -> Outcome:
        """Return the final outcome of a request that no further server gets."""
        if opened.failed is not None:
            return Ok(opened.failed)
        if opened.uncertain is not None or last.verdict is Verdict.MAY_HAVE_RUN:
            return Error(opened.uncertain or last)
        return Error(evolve(last, retry_after_ms=self.retry_after_ms(opened)))

    def failure_is_common(self, opened: OpenRequest) -> bool:
        """Tell whether all servers of a service fail often, so that another would fail too."""
        rate = least_failure_rate(self.directory, self.origin.loads, opened.service)
        return rate > COMMON_FAILURE_RATE

    def may_repeat(self, opened: OpenRequest) -> bool:
        """Tell whether a request that has reached a server may reach another one."""
        return opened.reached < opened.route.attempts and spend_retry_quota(
            self.quota(opened.service), self.clock.now_ms()
        )

    async def send(self, opened: OpenRequest, entry: BackendEntry) -> Outcome:
        """Send a request to one server and record what that says of the server."""
        opened.tried.add(entry.server_id)
        now_ms = self.clock.now_ms()
        execute = Execute(
            0,
            entry.server_id,
            opened.terms.request_id,
            self.settings.service,
            opened.route.name,
            opened.route.idempotent,
            opened.ends_ms - now_ms,
            opened.deadline_ms - now_ms,
            # All gates together may hold a request for its patience.
            max(0, min(opened.patience_ms - (now_ms - opened.arrived_ms), opened.ends_ms - now_ms)),
            call_rank(opened.rank, opened.depth),
            opened.repeated or opened.reached > 0,
            opened.share,
            opened.request.method,
            opened.request.target,
            self.dialect.client_headers(opened.request),
            opened.request.body,
        )
        target = target_of(self.origin.loads, entry.server_id)
        begin_send(target)
        try:
            outcome = await self.transmit(entry, execute)
        finally:
            end_send(target)
        self.judge(opened, entry, outcome, self.clock.now_ms() - now_ms)
        return outcome

    async def transmit(self, entry: BackendEntry, execute: Execute) -> Outcome:
        """Run a call on the own server or on that of a peer."""
        levels, route = self.origin.levels, execute.route
        if entry.address == self.settings.backend_address:
            outcome = await self.gate.execute(execute, own=True)
            now_ms = self.clock.now_ms()
            level = tree_level(levels, route, self.gate.gate.level.level, now_ms)
            record_level(levels, route, entry.server_id, level, now_ms)
            return outcome
        stream = self.peers.stream(f"{entry.host}:{self.settings.peer_port}")
        reply = await stream.call(execute)
        if isinstance(reply, LostCall):
            if reply.sent:
                return Error(may_have_run(Reason.CONNECTION_LOST, reply.text))
            return Error(not_run(Reason.UNREACHABLE, reply.text))
        record_report(target_of(self.origin.loads, entry.server_id), reply.running)
        record_level(levels, route, entry.server_id, reply.level, self.clock.now_ms())
        return reply.outcome

    def judge(
        self, opened: OpenRequest, entry: BackendEntry, outcome: Outcome, took_ms: int
    ) -> None:
        """Record what an outcome says of a server and of the request."""
        target = target_of(self.origin.loads, entry.server_id)
        now_ms = self.clock.now_ms()
        if outcome.is_ok():
            opened.reached += 1
            status = outcome.ok.status
            record_answer(target, SERVER_ERROR <= status != GATEWAY_TIMEOUT)
            if status < SERVER_ERROR:
                record_time(self.origin.loads, target, opened.route.name, took_ms, now_ms)
            return
        reason = outcome.error.reason
        if outcome.error.verdict is Verdict.MAY_HAVE_RUN or reason in SERVER_REFUSALS:
            opened.reached += 1
        else:
            opened.refused += 1
        if reason in (Reason.LEAVING, Reason.MISDIRECTED):
            record_refusal(target, now_ms, STALE_ENTRY_MS)
        elif reason is Reason.SERVER_REFUSED:
            record_answer(target, failed=True)
        elif outcome.error.verdict is Verdict.NOT_RUN:
            record_refusal(target, now_ms, REFUSAL_MS)
        lost = reason in (Reason.CONNECTION_LOST, Reason.UNREACHABLE)
        if lost and record_loss(target, now_ms):
            self.gate.log.record(
                "route",
                "ejected",
                opened.terms.request_id,
                server=entry.server_id,
                problem=outcome.error.text,
            )
