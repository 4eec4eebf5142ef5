"""A short fault soak of the node programs, and tests that its verdict finds broken promises."""

from pathlib import Path

import pytest
from basilhill_fakes.queries.soak_promises import broken_promises
from basilhill_fakes.soak import run_soak
from basilhill_fakes.soak_records import Acknowledged, Attempt, Disruption, Run, SoakHistory

SEED = 1
SECONDS = 6.0
# Seeds that failed once, each with a line on its cause.
REGRESSION_SEEDS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", (SEED, *REGRESSION_SEEDS))
async def test_promises_hold_under_faults_from_outside(seed: int, tmp_path: Path):
    result = await run_soak(seed, SECONDS, tmp_path)
    assert result.broken == []
    assert len(result.history.disruptions) > 3 and len(result.history.runs) > 100


def attempt(number: int, **changes) -> Attempt:
    made = Attempt(f"a{number}", 1, "POST", f"/write/a{number}", b"x", False, 10_000 + number)
    made.ended_ms, made.status = made.sent_ms + 10, 200
    made.answer, made.signature = f"POST {made.path} x".encode(), f"i-1.a{number}"
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def run(number: int, path: str = "/write/", service: str = "deposits", **changes) -> Run:
    values = {
        "attempt_id": f"a{number}",
        "server_id": "i-1",
        "service": service,
        "path": f"{path}a{number}",
        "body": b"x",
        "started_ms": 10_005 + number,
    }
    return Run(**values | changes)


def history(attempts: list[Attempt], runs: list[Run], **changes) -> SoakHistory:
    return SoakHistory(attempts, runs, recovered_ms=20_000, **changes)


def kinds(found: SoakHistory) -> list[str]:
    return [line.split(":")[0] for line in broken_promises(found)]


def test_history_without_faults_breaks_nothing():
    assert kinds(history([attempt(1)], [run(1)])) == []


def test_double_run_is_found():
    assert kinds(history([attempt(1)], [run(1), run(1, server_id="i-2")])) == ["TWICE"]


def test_run_that_nobody_asked_for_is_found():
    assert kinds(history([attempt(1)], [run(1), run(2)])) == ["UNASKED"]
    assert kinds(history([attempt(1, status=502)], [run(1, body=b"y")])) == ["UNASKED"]


def test_refusal_of_a_request_that_ran_is_found():
    assert kinds(history([attempt(1, status=503)], [run(1)])) == ["REFUSED"]


def test_answer_of_another_request_or_a_part_of_one_is_found():
    assert kinds(history([attempt(1, signature="i-1.a2")], [run(1)])) == ["MIXED"]
    assert kinds(history([attempt(1, answer=b"POST")], [run(1)])) == ["MIXED"]


def test_request_cut_off_beside_planned_work_is_found_and_beside_a_fault_is_not():
    cut = attempt(1, status=0)
    planned = Disruption("term", "deposits", True, 9_000, 11_000, machine=1)
    fault = Disruption("kill", "deposits", False, 9_000, 9_500, machine=2)
    assert kinds(history([cut], [run(1)], disruptions=[planned])) == ["LOST"]
    assert kinds(history([cut], [run(1)], disruptions=[planned, fault])) == []


def test_run_at_a_server_that_left_is_found():
    left = Acknowledged("drain", "i-1", 7_000)
    assert kinds(history([attempt(1)], [run(1)], acknowledged=[left])) == ["DRAIN"]
    late = Acknowledged("drain", "i-1", 9_000)
    assert kinds(history([attempt(1)], [run(1)], acknowledged=[late])) == []


def moved(number: int, service: str, sent_ms: int) -> tuple[Attempt, Run]:
    path = f"/move/a{number}"
    answer = f"POST {path} x".encode()
    sent = attempt(number, path=path, sent_ms=sent_ms, ended_ms=sent_ms + 10, answer=answer)
    return sent, run(number, "/move/", service, started_ms=sent_ms + 5)


def test_request_handled_by_an_older_configuration_is_found():
    change = Acknowledged("service", "deposits", 5_000)
    sent, ran = moved(1, "calendar", 7_500)
    assert kinds(history([sent], [ran], acknowledged=[change])) == ["CONFIG"]
    early, ran_early = moved(1, "calendar", 6_500)
    assert kinds(history([early], [ran_early], acknowledged=[change])) == []


def test_node_that_falls_back_to_an_older_configuration_is_found():
    changes = [
        Acknowledged("service", "calendar", 4_000),
        Acknowledged("service", "deposits", 5_000),
    ]
    first, ran_first = moved(1, "deposits", 5_500)
    second, ran_second = moved(2, "calendar", 6_000)
    found = history([first, second], [ran_first, ran_second], acknowledged=changes)
    assert kinds(found) == ["CONFIG"]


def test_fleet_that_does_not_recover_is_found():
    assert kinds(SoakHistory([attempt(1)], [run(1)])) == ["RECOVER"]
