"""Tests of a short fault soak of the node programs, and of its checks for violated invariants."""

from pathlib import Path

import pytest
from basilhill_fakes.queries.soak_invariants import find_soak_violations
from basilhill_fakes.soak import run_soak
from basilhill_fakes.soak_plans import PLANS
from basilhill_fakes.soak_records import (
    AcknowledgedChange,
    Arrival,
    Attempt,
    Disruption,
    Run,
    SoakHistory,
)

SEED = 1
SECONDS = 6.0
LEAVING_SEED = 13
LEAVING_SECONDS = 20.0
# Seeds of fixed failures, each with a comment on the cause.
REGRESSION_SEEDS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", (SEED, *REGRESSION_SEEDS))
async def test_invariants_hold_under_external_faults(seed: int, tmp_path: Path):
    result = await run_soak(seed, SECONDS, tmp_path)
    assert result.violations == []
    assert len(result.history.disruptions) > 3 and len(result.history.runs) > 100


async def test_servers_that_leave_get_no_requests_after_the_bound(tmp_path: Path):
    """Guard against requests to servers that said in responses or in the store that they leave.

    Some servers are the only ones of their service. Both bounds broke on earlier revisions.
    """
    result = await run_soak(LEAVING_SEED, LEAVING_SECONDS, tmp_path, PLANS["leaving-single"])
    assert result.violations == []
    assert any(attempt.leaving_server for attempt in result.history.attempts)


def new_attempt(number: int, **changes) -> Attempt:
    sent = Attempt(f"a{number}", 1, "POST", f"/write/a{number}", b"x", False, 10_000 + number)
    sent.ended_ms, sent.status = sent.sent_ms + 10, 200
    sent.answer, sent.signature = f"POST {sent.path} x".encode(), f"i-1.a{number}"
    for name, value in changes.items():
        setattr(sent, name, value)
    return sent


def new_run(number: int, path: str = "/write/", service: str = "deposits", **changes) -> Run:
    values = {
        "attempt_id": f"a{number}",
        "server_id": "i-1",
        "service": service,
        "path": f"{path}a{number}",
        "body": b"x",
        "started_ms": 10_005 + number,
    }
    return Run(**values | changes)


def new_history(attempts: list[Attempt], runs: list[Run], **changes) -> SoakHistory:
    return SoakHistory(attempts, runs, recovered_ms=20_000, **changes)


def violation_kinds(found: SoakHistory) -> list[str]:
    return [line.split(":")[0] for line in find_soak_violations(found)]


def test_history_without_faults_has_no_violation():
    assert violation_kinds(new_history([new_attempt(1)], [new_run(1)])) == []


def test_double_run_is_found():
    assert violation_kinds(
        new_history([new_attempt(1)], [new_run(1), new_run(1, server_id="i-2")])
    ) == ["TWICE"]


def test_run_without_a_matching_request_is_found():
    assert violation_kinds(new_history([new_attempt(1)], [new_run(1), new_run(2)])) == ["UNASKED"]
    assert violation_kinds(new_history([new_attempt(1, status=502)], [new_run(1, body=b"y")])) == [
        "UNASKED"
    ]


def test_refusal_of_a_request_that_ran_is_found():
    assert violation_kinds(new_history([new_attempt(1, status=503)], [new_run(1)])) == ["REFUSED"]


def test_response_of_another_request_and_truncated_response_are_found():
    assert violation_kinds(new_history([new_attempt(1, signature="i-1.a2")], [new_run(1)])) == [
        "MIXED"
    ]
    assert violation_kinds(new_history([new_attempt(1, answer=b"POST")], [new_run(1)])) == ["MIXED"]


def test_request_lost_during_planned_work_is_found_and_during_a_fault_is_not():
    lost = new_attempt(1, status=0)
    planned = Disruption("term", "deposits", True, 9_000, 11_000, vm=1)
    fault = Disruption("kill", "deposits", False, 9_000, 9_500, vm=2)
    assert violation_kinds(new_history([lost], [new_run(1)], disruptions=[planned])) == ["LOST"]
    assert violation_kinds(new_history([lost], [new_run(1)], disruptions=[planned, fault])) == []


def test_run_at_a_drained_server_is_found():
    early = AcknowledgedChange("drain", "i-1", 7_000)
    assert violation_kinds(
        new_history([new_attempt(1)], [new_run(1)], acknowledged_changes=[early])
    ) == ["DRAIN"]
    late = AcknowledgedChange("drain", "i-1", 9_000)
    assert (
        violation_kinds(new_history([new_attempt(1)], [new_run(1)], acknowledged_changes=[late]))
        == []
    )


def new_moved_request(number: int, service: str, sent_ms: int) -> tuple[Attempt, Run]:
    path = f"/move/a{number}"
    answer = f"POST {path} x".encode()
    sent = new_attempt(number, path=path, sent_ms=sent_ms, ended_ms=sent_ms + 10, answer=answer)
    return sent, new_run(number, "/move/", service, started_ms=sent_ms + 5)


def test_request_handled_by_an_older_configuration_is_found():
    change = AcknowledgedChange("service", "deposits", 5_000)
    sent, ran = new_moved_request(1, "calendar", 7_500)
    assert violation_kinds(new_history([sent], [ran], acknowledged_changes=[change])) == ["CONFIG"]
    early, ran_early = new_moved_request(1, "calendar", 6_500)
    assert violation_kinds(new_history([early], [ran_early], acknowledged_changes=[change])) == []


def test_node_that_reverts_to_an_older_configuration_is_found():
    changes = [
        AcknowledgedChange("service", "calendar", 4_000),
        AcknowledgedChange("service", "deposits", 5_000),
    ]
    first, ran_first = new_moved_request(1, "deposits", 5_500)
    second, ran_second = new_moved_request(2, "calendar", 6_000)
    found = new_history([first, second], [ran_first, ran_second], acknowledged_changes=changes)
    assert violation_kinds(found) == ["CONFIG"]


def test_fleet_that_does_not_recover_is_found():
    assert violation_kinds(SoakHistory([new_attempt(1)], [new_run(1)])) == ["RECOVER"]


def test_request_after_a_statement_that_the_node_passed_on_is_found():
    stated = new_attempt(1, leaving_server="i-1")
    late = new_attempt(2, sent_ms=stated.ended_ms + 2_001)
    arrival = Arrival("a2", "i-1", 1, late.sent_ms + 1)
    found = new_history([stated, late], [new_run(1), new_run(2)], arrivals=[arrival])
    assert violation_kinds(found) == ["DRAIN"]
    found.disruptions.append(Disruption("store down", "store", False, 0, 99_000))
    assert violation_kinds(found) == ["DRAIN"]
    found.disruptions.append(Disruption("pause", "deposits", False, late.sent_ms, 99_000, vm=1))
    assert violation_kinds(found) == []


def test_request_after_the_removal_of_a_server_is_found_beside_faults_of_other_nodes():
    attempt = new_attempt(1)
    removed = AcknowledgedChange("removal", "i-1", attempt.sent_ms - 2_500)
    arrival = Arrival("a1", "i-1", 2, attempt.sent_ms + 1)
    found = new_history([attempt], [new_run(1)], arrivals=[arrival], acknowledged_changes=[removed])
    found.disruptions.append(Disruption("kill", "deposits", False, 0, 99_000, vm=3))
    assert violation_kinds(found) == ["DRAIN"]
    found.disruptions.append(Disruption("kill", "deposits", False, 0, 99_000, vm=2))
    assert violation_kinds(found) == []
