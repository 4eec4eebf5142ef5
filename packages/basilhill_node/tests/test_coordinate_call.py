"""Tests of races between coordinators, executors, revocations and cancellations."""

import asyncio

import pytest
from attrs import define, evolve, field
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest, PriorityClass
from basilhill.clocks import ManualClock
from basilhill.commands.routing import drop_subsets
from basilhill.executions import ExecutionState
from basilhill.outcomes import (
    Answer,
    CallReply,
    ExecutionStatus,
    Reason,
    execution_status_of,
    not_run,
)
from basilhill.queries.documents import find_call
from basilhill_fakes.node_states import LOCAL_NODE, PEER_NODE, add_server, new_node_state
from basilhill_node.commands.coordinate_call import coordinate_call
from basilhill_node.commands.dispatch_call import OutgoingCall, dispatch_call
from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.revoke_call import revoke_call
from basilhill_node.state import LostReply
from expression import Error, Ok

SECTION = """
[team.a.service.deposits]
slots = 1
connections = 10
[team.a.service.deposits.call.take]
method = "POST"
path = "/deposits"
idempotent = false
timeout_ms = 1000
usual_ms = 20
[team.a.service.deposits.call.list]
method = "GET"
path = "/deposits"
idempotent = true
timeout_ms = 1000
usual_ms = 20
"""
TAKE = CallRequest("deposits", "POST", "/deposits")
LIST = CallRequest("deposits", "GET", "/deposits")
LOST = Error(LostReply(True, "first"))
REFUSED = Ok(CallReply(Error(not_run(Reason.OVERLOADED, ""))))


@define(eq=False)
class BlockingBackend:
    """Backend server that responds only after the test releases it."""

    runs: int = 0
    released: asyncio.Event = field(factory=asyncio.Event)

    async def call(self, request, parent, timeout_ms):
        self.runs += 1
        await self.released.wait()
        return Ok(Answer(200, (), b"done"))

    async def close(self):
        return


@define(eq=False)
class ScriptedPeer:
    """Peer whose replies the test sets."""

    executed: object = LOST
    revoked: object = None
    grants: int = 0
    on_execute: object = None

    def channel(self, node):
        return self

    def touch(self):
        pass

    async def execute(self, context, key, request):
        self.grants += 1
        if self.on_execute is not None:
            self.on_execute()
        return self.executed

    async def revoke(self, key, incarnation, age_ms, timeout_ms):
        return self.revoked


def new_node(peer=None, servers=(LOCAL_NODE,), **settings):
    node = new_node_state(SECTION, BlockingBackend(), 1, servers, **{"queue_ms": 2_000, **settings})
    node.peers = peer
    return node


def new_context(node, timeout_ms=5_000):
    return CallContext(
        "action", "take", PriorityClass.TRANSACTION, node.clock.now_ms() + timeout_ms, cohort=0
    )


def new_call(node, request=TAKE, key="key", retries=0):
    policy = find_call(node.document, request.service, request.method, request.path)
    return OutgoingCall(new_context(node), policy, request, RetryBudget(retries), key)


def execute(node, key):
    return asyncio.create_task(execute_call(node, new_context(node), key, TAKE))


async def run_pending_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


def status_of(reply):
    return execution_status_of(reply.outcome)


@pytest.mark.parametrize(("off", "runs"), [((), 0), (("tombstones",), 1)])
async def test_execute_frame_after_its_revocation_does_not_run(off, runs):
    """Guard against running a revoked call whose Execute frame arrives late.

    Without tombstones the call runs, which shows that the tombstone rejects it.
    """
    node = new_node(disabled_mechanisms=off)
    node.backend.released.set()
    assert status_of(await revoke_call(node, "key", 10)) is ExecutionStatus.NOT_RUN
    await execute(node, "key")
    assert node.backend.runs == runs


async def test_revocation_of_a_queued_call_removes_it_and_leaks_no_slot():
    """Guard against a revoked call that stays in the queue or keeps a slot."""
    node = new_node()
    first, second = execute(node, "first"), execute(node, "second")
    await run_pending_tasks()
    assert status_of(await revoke_call(node, "second", 10)) is ExecutionStatus.NOT_RUN
    assert status_of(await second) is ExecutionStatus.NOT_RUN
    assert not node.admission.queue
    node.backend.released.set()
    assert status_of(await first) is ExecutionStatus.ANSWERED
    assert (node.backend.runs, node.admission.in_flight) == (1, 0)
    assert node.executor_runs == {}


async def test_revocation_of_a_running_call_waits_for_its_outcome():
    """Guard against a revocation that reports "not run" while the call runs."""
    node = new_node()
    running = execute(node, "key")
    await run_pending_tasks()
    revoking = asyncio.create_task(revoke_call(node, "key", 10))
    await run_pending_tasks()
    node.backend.released.set()
    assert (await revoking).outcome == (await running).outcome
    assert status_of(await revoke_call(node, "key", 20)) is ExecutionStatus.ANSWERED


async def test_late_revocation_reports_may_have_run_if_the_record_may_have_expired():
    """Guard against "not run" for a call that ran and whose record has expired."""
    node = new_node(executor_lifetime_ms=1_000)
    assert status_of(await revoke_call(node, "key", 600)) is ExecutionStatus.MAY_HAVE_RUN


async def test_cancelled_execution_completes_if_started_and_never_starts_otherwise():
    """Guard against aborting a started call, and against starting a cancelled one."""
    node = new_node()
    first, second = execute(node, "first"), execute(node, "second")
    await run_pending_tasks()
    first.cancel()
    second.cancel()
    await run_pending_tasks()
    node.backend.released.set()
    await run_pending_tasks()
    assert node.executed.records["first"].state is ExecutionState.ANSWERED
    assert node.executed.records["second"].state is ExecutionState.REJECTED
    assert (node.backend.runs, node.admission.in_flight) == (1, 0)


async def test_cancelling_the_last_attempt_rejects_a_key_that_has_not_started():
    """Guard against running a queued call after all its callers have disconnected."""
    node = new_node()
    occupying = execute(node, "other")
    await run_pending_tasks()
    repeated_attempt = asyncio.create_task(coordinate_call(node, new_call(node)))
    await run_pending_tasks()
    repeated_attempt.cancel()
    await run_pending_tasks()
    assert node.coordinated.records["key"].state is ExecutionState.REJECTED
    node.backend.released.set()
    await occupying
    assert status_of(await coordinate_call(node, new_call(node))) is ExecutionStatus.NOT_RUN
    assert (node.backend.runs, node.coordinated_runs) == (1, {})


async def test_cancelling_one_attempt_does_not_stop_the_run_of_another():
    """Guard against cancelling a run that another attempt of the call still awaits."""
    node = new_node()
    attempts = [asyncio.create_task(coordinate_call(node, new_call(node))) for _ in range(2)]
    await run_pending_tasks()
    attempts[0].cancel()
    await run_pending_tasks()
    node.backend.released.set()
    assert status_of(await attempts[1]) is ExecutionStatus.ANSWERED
    assert node.backend.runs == 1


async def test_token_of_another_request_does_not_return_its_outcome():
    """Guard against returning the outcome of one request to another one with the same token."""
    node = new_node()
    node.backend.released.set()
    await coordinate_call(node, new_call(node))
    other = evolve(new_call(node), request=evolve(TAKE, body=b"other"))
    assert status_of(await coordinate_call(node, other)) is ExecutionStatus.MAY_HAVE_RUN


async def test_lost_reply_is_retried_only_after_the_executor_rejected_the_key():
    """Guard against a duplicate execution by a retry while the first executor may run the call."""
    peer = ScriptedPeer(revoked=REFUSED)
    node = new_node(peer, servers=(PEER_NODE,))
    peer.on_execute = lambda: add_known_server(node, LOCAL_NODE)
    node.backend.released.set()
    reply = await coordinate_call(node, new_call(node, retries=3))
    assert status_of(reply) is ExecutionStatus.ANSWERED
    assert (peer.grants, node.backend.runs, reply.retries_spent) == (1, 1, 1)


def add_known_server(node, server):
    add_server(node, server)
    drop_subsets(node.routing)


async def test_call_to_an_ended_incarnation_is_uncertain_and_not_retried():
    """Guard against a duplicate execution by a retry after the executor restarted."""
    peer = ScriptedPeer(revoked=Error(LostReply(False, "second")))
    node = new_node(peer, servers=(PEER_NODE,))
    peer.on_execute = lambda: add_known_server(node, LOCAL_NODE)
    reply = await coordinate_call(node, new_call(node, retries=3))
    assert status_of(reply) is ExecutionStatus.MAY_HAVE_RUN
    assert (peer.grants, node.backend.runs) == (1, 0)
    # The retries allotted to the call without a reply count as spent.
    assert reply.retries_spent == 2


async def test_lost_replies_of_idempotent_calls_count_their_allotments_as_spent():
    """Guard against retry amplification by retries that a lost call may have spent."""
    peer = ScriptedPeer()
    node = new_node(peer, servers=[f"127.0.0.{n}:7401" for n in range(2, 9)])
    reply = await dispatch_call(node, new_call(node, LIST, key=None, retries=3))
    assert (peer.grants, reply.retries_spent) == (2, 3)


async def test_refusal_after_an_uncertain_run_is_not_reported_as_not_run():
    """Guard against "not run" for an idempotent call that an earlier server may have run."""
    peer = ScriptedPeer()
    node = new_node(peer, servers=(PEER_NODE, "127.0.0.3:7401"))

    def refuse_second_call():
        if peer.grants == 2:
            peer.executed = REFUSED

    peer.on_execute = refuse_second_call
    reply = await dispatch_call(node, new_call(node, LIST, key=None, retries=9))
    assert peer.grants == 2
    assert status_of(reply) is ExecutionStatus.MAY_HAVE_RUN


async def test_no_retry_is_spent_on_a_service_that_refuses_by_its_level():
    """Guard against spending a retry on a service whose admission level rejects the call."""
    peer = ScriptedPeer(executed=REFUSED)
    node = new_node(peer, servers=(PEER_NODE, "127.0.0.3:7401"))

    def refuse_all():
        for server in node.routing.servers.values():
            server.level, server.level_ms = 10_000, node.clock.now_ms()
        # The origin caches the level for a few milliseconds.
        node.routing.path_levels.clear()

    peer.on_execute = refuse_all
    reply = await dispatch_call(node, new_call(node, retries=3))
    assert (peer.grants, reply.retries_spent) == (1, 0)


async def test_no_retry_is_spent_when_the_remaining_time_is_below_the_usual_time():
    """Guard against a retry that cannot meet the deadline."""
    peer = ScriptedPeer(executed=REFUSED)
    node = new_node(peer, servers=(PEER_NODE, "127.0.0.3:7401"))
    call = evolve(new_call(node, retries=3), context=new_context(node, timeout_ms=30))
    peer.on_execute = lambda: advance_clock(node)
    reply = await dispatch_call(node, call)
    assert (peer.grants, reply.retries_spent) == (1, 0)


def advance_clock(node):
    node.clock = ManualClock(node.clock.now_ms() + 15)
