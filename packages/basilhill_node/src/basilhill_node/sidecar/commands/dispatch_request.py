"""Sending of a request to servers, one after the other, until one of them responds."""

import asyncio

from attrs import define, evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import Choice
from basilhill.clocks import Clock
from basilhill.commands.balancing import find_candidates, record_choice
from basilhill.outcomes import (
    ExecutionStatus,
    Outcome,
    Reason,
    Refusal,
    may_have_run,
    not_run,
)
from basilhill.queries.backends import deregistered_entries, ready_entries
from basilhill.queries.balancing import choose_backend, crossing_cost_ms
from expression import Error, Ok

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.commands.execute_call import GATEWAY_TIMEOUT
from basilhill_node.sidecar.commands.send_call import (
    SERVER_ERROR,
    SERVER_REFUSALS,
    CallSender,
)
from basilhill_node.sidecar.commands.spend_retries import RetryBudget
from basilhill_node.sidecar.open_requests import OpenRequest
from basilhill_node.sidecar.state import OriginState, SidecarSettings

# Number of executors that may refuse a call for lack of a free slot before the client is refused.
MAX_SLOT_REFUSALS = 2
# Number of executors that may refuse a call because their server is slow. If 4 in 10 servers are
# slow, 1 call in 40 meets four of them in a row.
MAX_SLOW_REFUSALS = 4
# Range of the retry delay for clients refused because of load, in shares of the time from arrival
# to the client's deadline. Delays are spread evenly over the range.
RETRY_AFTER_SHARE = (0.04, 0.12)


@define(eq=False)
class RequestDispatcher:
    """Dispatcher of admitted requests, which chooses servers and retries within the budget."""

    settings: SidecarSettings
    origin: OriginState
    directory: BackendDirectory
    sender: CallSender
    retries: RetryBudget
    metrics: Metrics
    clock: Clock

    def retry_after_ms(self, opened: OpenRequest) -> int:
        """Return the retry delay of a refused client, short enough to be served by its deadline."""
        client_timeout_ms = opened.deadline_ms - opened.arrived_ms
        return int(client_timeout_ms * self.origin.random.uniform(*RETRY_AFTER_SHARE)) + 1

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
