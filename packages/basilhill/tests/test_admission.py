"""Tests of admission: queue order, levels and the concurrency limit."""

from statistics import mean

import pytest
from basilhill.admission import AdmissionState
from basilhill.calls import COHORTS, CallContext, PriorityClass
from basilhill.commands.admission import adjust_cohort_level, admit_call, drop_queued, free_slot
from basilhill.outcomes import Reason
from basilhill.queries.admission import next_queued
from basilhill_fakes.server_simulation import Traffic, new_simulation

BROWSE, TRANSACTION = PriorityClass.BROWSE, PriorityClass.TRANSACTION
PICKS = Traffic("pick", 30, TRANSACTION, 200, 2)
LISTS = Traffic("list", 100, BROWSE, 10, 1)


def context(priority_class=BROWSE, depth=0, deadline_ms=1_000) -> CallContext:
    return CallContext("action", "", priority_class, deadline_ms, "", depth, cohort=0)


def full_server(queue_limit: int = 10) -> AdmissionState:
    state = AdmissionState(1, queue_limit, 200, 1.0)
    assert admit_call(state, "running", "call", context(), 0).ok.started
    return state


def test_queue_orders_by_class_then_depth_then_deadline():
    state = full_server()
    for name, kind in {
        "browse": context(),
        "late": context(TRANSACTION, deadline_ms=900),
        "early": context(TRANSACTION, deadline_ms=800),
        "deep": context(TRANSACTION, depth=2),
    }.items():
        assert not admit_call(state, name, "call", kind, 0).ok.started
    order = [queued.call_id for queued in reversed(state.queue)]
    assert order == ["deep", "early", "late", "browse"]


def test_full_queue_drops_its_last_call_only_for_a_call_of_higher_priority():
    state = full_server(queue_limit=1)
    admit_call(state, "browse", "call", context(), 0)
    assert admit_call(state, "booking", "call", context(TRANSACTION), 0).ok.dropped == "browse"
    refused = admit_call(state, "deep", "call", context(BROWSE, depth=9), 0)
    assert refused.error.reason is Reason.OVERLOADED
    assert [queued.call_id for queued in state.queue] == ["booking"]


def test_call_that_cannot_finish_in_time_is_refused_immediately():
    state = full_server()
    state.service_ms = 400.0
    refused = admit_call(state, "call", "call", context(deadline_ms=500), 0, usual_ms=400)
    assert refused.error.reason is Reason.DEADLINE


def test_transaction_without_a_slot_raises_the_level_above_browsing():
    state = full_server()
    admit_call(state, "booking", "call", context(TRANSACTION), 0)
    drop_queued(state, "booking", 200)
    assert admit_call(state, "browse", "call", context(depth=1), 200).is_error()


def test_dropped_and_completed_calls_leave_slots_and_queue_free():
    state = full_server()
    admit_call(state, "waiting", "call", context(), 0)
    drop_queued(state, "waiting", 10)
    drop_queued(state, "waiting", 10)
    free_slot(state, 20)
    assert (state.in_flight, state.queue, next_queued(state)) == (0, [], None)


def test_level_falls_when_origin_nodes_refuse_everything():
    """Guard against a level that stays high because all calls are refused before they arrive."""
    state = AdmissionState(10, 200, 200, 10.0)
    state.level = 375
    state.densities[(TRANSACTION, "call")] = 0.01
    state.service_ms = 50.0
    for now_ms in range(100, 2_100, 100):
        adjust_cohort_level(state, now_ms)
    assert state.level < TRANSACTION * COHORTS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_keeps_the_server_busy_and_ends_without_backlog(seed):
    """Guard against goodput lost to an oscillating level, and against slow recovery."""
    simulation = new_simulation(10, seed)
    simulation.run(5_000, [PICKS, LISTS])
    simulation.slow_factor = 4.0
    simulation.run(15_000, [PICKS, Traffic("list", 200, BROWSE, 10, 1)])
    simulation.slow_factor = 1.0
    ended_ms = simulation.now_ms
    simulation.run(600, [PICKS, LISTS])
    assert all(queued.enqueued_ms > ended_ms for queued in simulation.state.queue)
    simulation.run(3_400, [PICKS, LISTS])
    busy = simulation.count_outcomes("done", "pick", 8_000, ended_ms) * 800
    busy += simulation.count_outcomes("done", "list", 8_000, ended_ms) * 40
    assert busy >= 0.85 * 10 * (ended_ms - 8_000)
    refused = simulation.count_outcomes("refused", "pick", 8_000, ended_ms)
    assert refused <= 0.2 * simulation.count_outcomes("done", "pick", 8_000, ended_ms)
    assert simulation.served_share("pick", ended_ms + 2_000) >= 0.95
    assert simulation.served_share("list", ended_ms + 2_000) >= 0.9


def test_limit_falls_only_where_that_does_not_reduce_throughput():
    """Guard against a lower limit on a server whose calls are slow at any concurrency."""
    steady = Traffic("call", 400, TRANSACTION, 20, 1)
    contended = new_simulation(20)
    contended.capacity = 5
    contended.run(500, [Traffic("call", 50, TRANSACTION, 20, 1)])
    limits = []
    for _ in range(40):
        contended.run(1_000, [steady])
        limits.append(contended.state.limit)
    # The limit is probed continuously, so the mean is checked instead of a single value.
    assert mean(limits[4:]) < 16
    slow = new_simulation(20)
    slow.run(500, [Traffic("call", 50, TRANSACTION, 20, 1)])
    slow.slow_factor = 4.0
    slow.run(20_000, [steady])
    assert slow.state.limit >= 18
    slow.slow_factor = 1.0
    slow.run(1_500, [steady])
    assert slow.state.limit == 20


def test_internal_call_that_would_wait_too_long_is_refused_immediately():
    """Guard against slots of upstream services occupied by a call that gets no slot in time."""
    state = full_server()
    state.service_ms = 400.0
    state.queue_ms = 50
    assert not admit_call(state, "first", "call", context(TRANSACTION, depth=1), 0).ok.started
    refused = admit_call(state, "second", "call", context(TRANSACTION, depth=1), 0)
    assert refused.error.reason is Reason.OVERLOADED
    assert not admit_call(state, "entry", "call", context(TRANSACTION), 0).ok.started
