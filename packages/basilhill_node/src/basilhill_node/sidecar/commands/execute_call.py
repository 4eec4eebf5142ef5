"""Execution of calls on the local backend server."""

import asyncio
from collections.abc import Callable, Sequence

from attrs import define, field
from basilhill.backends import BackendDirectory
from basilhill.clocks import Clock
from basilhill.commands.levels import adjust_rank_level, count_work, refit_rank_level
from basilhill.commands.rate_limits import refill_tokens, state_limit
from basilhill.commands.response_times import record_end, record_start
from basilhill.commands.slots import (
    record_shed,
    release_slot,
    request_slot,
    return_slot,
    start_next_request,
    withdraw_request,
)
from basilhill.outcomes import Header, Outcome, Reason, Refusal, may_have_run, not_run
from basilhill.queries.backends import is_leaving
from basilhill.queries.ranks import split_rank
from basilhill.queries.rate_limits import token_wait_ms
from basilhill.queries.response_times import can_end_in_time
from basilhill.queries.slots import has_free_slot, queue_drain_ms
from basilhill.slots import SlotDecision, SlotRequest
from expression import Error

from basilhill_node.sidecar.commands.filter_poison_requests import PoisonRequestFilter
from basilhill_node.sidecar.dialect import Dialect, ServerMetadata
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.http_client import (
    IDLE_MS,
    ClientConnection,
    ConnectionFailedError,
)
from basilhill_node.sidecar.messages import HttpRequest, encode_request
from basilhill_node.sidecar.state import ExecutorState, NodeLifecycle, RunningCall, WaitingCall

ADJUST_INTERVAL_S = 0.1
LEAVING_INTERVAL_S = 0.1
# Status with which a server ends a call at its deadline.
GATEWAY_TIMEOUT = 504
# A call still waiting for a slot is refused this long before its deadline, so that the origin
# receives "not run" in time.
REPLY_MARGIN_MS = 30

# Longest idle time of a connection that a non-idempotent call may use: a server may close an idle
# connection while the request is in transit, and such a call cannot be retried.
NON_IDEMPOTENT_IDLE_MS = 1_000
# Shortest idle time after which a lost connection indicates that the other idle connections are
# stale. On a connection lost after a shorter idle time, the server reset the response to a request
# that it ran, so the other connections are not stale.
STALE_IDLE_MS = 500


@define(eq=False)
class CallExecutor:
    """Executor of calls on the local backend server within its slots."""

    state: ExecutorState
    directory: BackendDirectory
    lifecycle: NodeLifecycle
    poison_filter: PoisonRequestFilter
    dialect: Dialect
    clock: Clock
    log: EventLog
    # Called with the id of a server that states that it leaves.
    leaving_stated: Callable[[str], None] = field(default=lambda _id: None)
    # Called with an id that the server refused as not its own.
    refuted: Callable[[str], None] = field(default=lambda _id: None)
    # Timer for the next token of a server with a rate limit.
    token_timer: asyncio.TimerHandle | None = None

    async def execute(self, call: Execute, is_local: bool = False) -> Outcome:
        """Wait for a slot and run a call; return the response, or a refusal with its status.

        While the node is closing it accepts only calls from its own clients (`is_local`), so that
        the calls of its peers have completed before it stops. Until it is closing, the slots of its
        server remain available to peers.
        """
        arrived_ms = self.clock.now_ms()
        refusal = (
            self.leaving_refusal(call, is_local)
            or self.poison_filter.refusal(call)
            or self.slow_refusal(call, arrived_ms)
            or await self.wait_for_slot(call, arrived_ms)
        )
        if refusal is not None:
            self.record(call, Error(refusal), arrived_ms, self.clock.now_ms())
            return Error(refusal)
        started_ms = self.clock.now_ms()
        self.state.running[call.request_id] = RunningCall(
            call.route, *split_rank(call.rank), call.repeated, call.share
        )
        record_start(self.state.times, call.route, call.request_id, started_ms)
        call.dispatched = True
        answered = False
        try:
            outcome = await self.run(call, arrived_ms)
            answered = outcome.is_ok() and outcome.ok.status != GATEWAY_TIMEOUT
        except asyncio.CancelledError:
            ran_ms = self.clock.now_ms() - started_ms
            self.log.record("execute", "cancelled by its origin", call.request_id, ran_ms=ran_ms)
            raise
        finally:
            self.state.running.pop(call.request_id, None)
            ended_ms = self.clock.now_ms()
            record_end(self.state.times, call.route, call.request_id, ended_ms, answered)
            release_slot(self.state.slots, ended_ms - started_ms)
            self.start_waiting_calls()
        self.record(call, outcome, arrived_ms, started_ms)
        await self.poison_filter.record_outcome(call, outcome)
        return outcome

    def leaving_refusal(self, call: Execute, is_local: bool) -> Refusal | None:
        """Return a refusal if the node or the target server is leaving, else None."""
        if self.lifecycle.closing and not is_local:
            return not_run(Reason.LEAVING, "the node beside the server is stopping")
        if is_leaving(self.directory, call.server_id):
            return server_leaving(call.server_id)
        if call.server_id in self.state.misdirected_ids:
            return not_run(Reason.NO_SERVER, f"the server is not {call.server_id}")
        return None

    def refuse_calls_of_leaving_servers(self) -> None:
        """Refuse the waiting calls whose server leaves by now, so that others can run them."""
        waiting_calls = tuple(self.state.waiting_calls.values())
        for server_id in {waiting.server_id for waiting in waiting_calls}:
            if is_leaving(self.directory, server_id):
                for waiting in waiting_calls:
                    if waiting.server_id == server_id:
                        self.resolve(waiting, server_leaving(server_id))

    def slow_refusal(self, call: Execute, now_ms: int) -> Refusal | None:
        """Return a refusal if the server has become too slow to end the call in time."""
        if can_end_in_time(self.state.times, call.route, call.remaining_ms, now_ms):
            return None
        return not_run(Reason.TOO_SLOW, f"the server takes longer than {call.remaining_ms} ms")

    async def wait_for_slot(self, call: Execute, arrived_ms: int) -> Refusal | None:
        """Acquire a slot, waiting for it if needed; return a refusal if there is none in time."""
        slots = self.state.slots
        rank, _ = split_rank(call.rank)
        count_work(self.state.level, rank, slots.service_ms, call.share)
        grant = request_slot(slots, call.rank, call.wait_limit_ms, arrived_ms)
        for displaced in grant.displaced:
            self.refuse_waiting_call(displaced)
        if grant.decision is SlotDecision.STARTED:
            return None
        if grant.decision is SlotDecision.REFUSED:
            return self.overload_refusal()
        wait_limit_ms = min(call.wait_limit_ms, call.remaining_ms - REPLY_MARGIN_MS)
        waiter = asyncio.get_running_loop().create_future()
        waiting = WaitingCall(call.server_id, waiter)
        self.state.waiting_calls[grant.request.sequence] = waiting
        self.schedule_next_token()
        try:
            async with asyncio.timeout(max(0, wait_limit_ms) / 1000):
                return await waiter
        except TimeoutError:
            if is_granted(waiter):
                return None
            return self.overload_refusal()
        except asyncio.CancelledError:
            if is_granted(waiter):
                return_slot(slots)
                self.start_waiting_calls()
            raise
        finally:
            withdraw_request(slots, grant.request)
            del self.state.waiting_calls[grant.request.sequence]

    def start_waiting_calls(self) -> None:
        refill_tokens(self.state.slots, self.clock.now_ms())
        while (request := start_next_request(self.state.slots)) is not None:
            if not self.resolve_waiter(request, None):
                # The call was cancelled in this event loop iteration and has not withdrawn yet.
                return_slot(self.state.slots)
        self.schedule_next_token()

    def schedule_next_token(self) -> None:
        """Start the first waiting call once there is a token, if it waits for nothing else."""
        slots = self.state.slots
        if self.token_timer is not None:
            self.token_timer.cancel()
            self.token_timer = None
        if slots.rate is not None and slots.waiting and has_free_slot(slots):
            wait_s = (int(token_wait_ms(slots.rate, 0)) + 1) / 1000
            loop = asyncio.get_running_loop()
            self.token_timer = loop.call_later(wait_s, self.start_waiting_calls)

    def refuse_waiting_call(self, request: SlotRequest) -> None:
        """Refuse a waiting call that was displaced by calls of higher priority."""
        self.resolve_waiter(request, self.overload_refusal())

    def resolve_waiter(self, request: SlotRequest, refusal: Refusal | None) -> bool:
        """Resume the task of a waiting call; return whether it was still waiting."""
        waiting = self.state.waiting_calls.get(request.sequence)
        return waiting is not None and self.resolve(waiting, refusal)

    def resolve(self, waiting: WaitingCall, refusal: Refusal | None) -> bool:
        """Resume the task of a waiting call; return whether it was still waiting."""
        if waiting.result.done():
            return False
        waiting.result.set_result(refusal)
        return True

    def overload_refusal(self) -> Refusal:
        """Return the refusal of a call that got no slot in time."""
        slots = self.state.slots
        text = f"{slots.in_flight} of {slots.slots} slots are in use"
        if slots.rate is not None:
            text += f", the server takes {slots.rate.per_s} calls per second"
        return not_run(Reason.OVERLOADED, text, int(queue_drain_ms(self.state.slots)) + 1)

    async def run(self, call: Execute, arrived_ms: int) -> Outcome:
        """Send a call to the local backend server and return its outcome."""
        waited_ms = self.clock.now_ms() - arrived_ms
        remaining_ms = call.remaining_ms - waited_ms
        if remaining_ms <= 0:
            return Error(not_run(Reason.DEADLINE, "the deadline passed before the start"))
        # The server stops work at the client's deadline or the route's timeout, whichever is
        # sooner.
        work_ms = min(remaining_ms, call.deadline_ms - waited_ms)
        metadata = ServerMetadata(call.request_id, work_ms, call.server_id, call.caller_service)
        headers = self.dialect.server_headers(call.headers, metadata)
        data = encode_request(HttpRequest(call.method, call.target, headers, call.body))
        # No timeout is needed here: the origin cancels the call when its timeout expires, and the
        # server stops at the deadline.
        return await self.exchange(call, data)

    async def exchange(self, call: Execute, data: Sequence[bytes]) -> Outcome:
        """Send an encoded call on a connection that carries no other call.

        A request that is lost on a reused connection is not retried here: the server may have run
        it, and only the origin knows whether the retry budget allows another attempt.
        """
        pool = self.state.pool
        longest_idle_ms = IDLE_MS if call.idempotent else NON_IDEMPOTENT_IDLE_MS
        try:
            connection = await pool.acquire(longest_idle_ms, call.request_id)
            if is_leaving(self.directory, call.server_id):
                # The server may have begun to leave while the call waited.
                pool.release(connection)
                return Error(server_leaving(call.server_id))
            idle_ms = connection.idle_for_ms()
            try:
                return await self.send(connection, call, data)
            except ConnectionFailedError:
                if connection.reused and idle_ms >= STALE_IDLE_MS:
                    # The server has probably closed all connections that were idle as long.
                    pool.drop_idle(idle_ms)
                raise
        except ConnectionFailedError as error:
            if error.sent:
                return Error(may_have_run(Reason.CONNECTION_LOST, str(error)))
            return Error(not_run(Reason.UNREACHABLE, str(error)))

    async def send(
        self, connection: ClientConnection, call: Execute, data: Sequence[bytes]
    ) -> Outcome:
        """Send a call; return the connection to the pool if it is still usable, else close it."""

        def accepts(headers) -> bool:
            return self.dialect.matches_request(headers, call.request_id)

        sent_ms = self.clock.now_ms()
        response = await connection.exchange(data, accepts, call.method == "HEAD")
        outcome = self.dialect.decode_answer(response)
        if outcome.is_ok() or outcome.error.reason is not Reason.MISDIRECTED:
            self.record_statement(call, response.headers, sent_ms)
        shed = outcome.is_error() and outcome.error.reason is Reason.SERVER_REFUSED
        record_shed(self.state.slots, shed, self.clock.now_ms())
        if outcome.is_error():
            connection.record_refusal(call.request_id)
            if outcome.error.reason is Reason.MISDIRECTED:
                self.state.misdirected_ids.add(call.server_id)
                self.refuted(call.server_id)
        self.state.pool.release(connection)
        return outcome

    def record_statement(self, call: Execute, headers: Sequence[Header], sent_ms: int) -> None:
        """Apply what the server states about itself in a response."""
        statement, slots = self.dialect.decode_statement(headers), self.state.slots
        slots.heard = True
        if statement.leaving:
            self.leaving_stated(call.server_id)
        if statement.problem:
            # The last limit that could be decoded still holds.
            self.log.record("limit", "ignored", call.request_id, problem=statement.problem)
        elif state_limit(slots, statement.limit_per_s, sent_ms, self.clock.now_ms()):
            # The reply to this call carries the level. Without the refit, an origin that admits no
            # calls would keep the level of the limit that has ended.
            refit_rank_level(self.state.level, slots)
            self.log.record(
                "limit",
                "changed" if slots.rate else "ended",
                call.request_id,
                server=call.server_id,
                per_s=statement.limit_per_s,
            )

    def adjust_admission_level(self) -> None:
        """Adjust the admission level and log a change."""
        before = self.state.level.level
        adjust_rank_level(self.state.level, self.state.slots, self.clock.now_ms())
        if int(before) != int(self.state.level.level):
            slots = self.state.slots
            self.log.record(
                "level",
                "changed",
                before=round(before, 2),
                after=round(self.state.level.level, 2),
                in_flight=slots.in_flight,
                slots=slots.slots,
                queued=len(slots.waiting),
            )

    def record(self, call: Execute, outcome: Outcome, arrived_ms: int, started_ms: int) -> None:
        """Log the outcome of a call with the inputs of the decision."""
        if outcome.is_ok():
            event, reason = "answered", ""
            found = {"status": outcome.ok.status}
        else:
            refusal = outcome.error
            event, reason = refusal.execution_status.value, refusal.reason.value
            found = {"reason": reason, "problem": refusal.text}
        if not self.log.should_log("execute", event, reason):
            return
        slots = self.state.slots
        self.log.record(
            "execute",
            event,
            call.request_id,
            route=call.route,
            server=call.server_id,
            rank=call.rank,
            waited_ms=started_ms - arrived_ms,
            ran_ms=self.clock.now_ms() - started_ms,
            in_flight=slots.in_flight,
            slots=slots.slots,
            queued=len(slots.waiting),
            **found,
        )


def server_leaving(server_id: str) -> Refusal:
    """Return the refusal of a call to a server that leaves."""
    return not_run(Reason.LEAVING, f"server {server_id} is leaving")


def is_granted(waiter: asyncio.Future[Refusal | None]) -> bool:
    """Return whether a waiting call has been given a slot."""
    return waiter.done() and not waiter.cancelled() and waiter.result() is None
