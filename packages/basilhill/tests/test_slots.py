"""Tests of the slots of a backend server: who waits, who is refused."""

from basilhill.commands.slots import release_slot, request_slot, start_next, withdraw_request
from basilhill.slots import SlotDecision, SlotGate

SERVICE_MS = 20.0


def full_gate(slots: int = 2) -> SlotGate:
    gate = SlotGate(slots, service_ms=SERVICE_MS)
    for _ in range(slots):
        assert request_slot(gate, 0, 100, 0).decision is SlotDecision.STARTED
    return gate


def test_calls_wait_in_order_of_rank_then_arrival():
    gate = full_gate()
    for rank in (5, 1, 5):
        assert request_slot(gate, rank, 1_000, 0).decision is SlotDecision.QUEUED
    release_slot(gate, SERVICE_MS)
    assert start_next(gate).rank == 1
    release_slot(gate, SERVICE_MS)
    assert start_next(gate).sequence < gate.waiting[0].sequence


def test_no_call_starts_beyond_the_slots():
    gate = full_gate()
    request_slot(gate, 1, 1_000, 0)
    assert start_next(gate) is None


def test_call_that_would_wait_too_long_is_refused_at_once():
    """Guards against holding requests that no slot can serve in time."""
    gate = full_gate()
    assert request_slot(gate, 5, 10, 0).decision is SlotDecision.QUEUED
    assert request_slot(gate, 5, 10, 0).decision is SlotDecision.REFUSED


def test_urgent_call_displaces_the_least_urgent_one_that_now_waits_too_long():
    gate = full_gate()
    patient = request_slot(gate, 5, 10, 0).request
    grant = request_slot(gate, 1, 10, 0)
    assert grant.decision is SlotDecision.QUEUED
    assert grant.displaced == (patient,)


def test_new_call_does_not_overtake_one_that_waits_for_a_slot_just_freed():
    gate = full_gate(1)
    first = request_slot(gate, 3, 1_000, 0).request
    release_slot(gate, SERVICE_MS)
    assert request_slot(gate, 9, 1_000, 0).decision is SlotDecision.QUEUED
    assert start_next(gate) is first


def test_withdrawn_call_gets_no_slot():
    gate = full_gate(1)
    request = request_slot(gate, 3, 1_000, 0).request
    withdraw_request(gate, request)
    release_slot(gate, SERVICE_MS)
    assert start_next(gate) is None and gate.in_flight == 0
