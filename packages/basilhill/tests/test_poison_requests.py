"""Tests of the records of poison requests, which crash backend servers."""

import pytest
from basilhill.calls import CallRequest
from basilhill.commands.poison_requests import apply_crash_report
from basilhill.outcomes import Header
from basilhill.poison_requests import CrashReport, PoisonRequestTable, PoisonStatus
from basilhill.queries.poison_requests import (
    choose_quarantine_server,
    fingerprint_of,
    poison_status,
)


def report(*crashes: str, cleared: bool = False) -> CrashReport:
    return CrashReport("print", frozenset(crashes), cleared)


def test_second_crash_refuses_a_request_for_the_time_to_live():
    table = PoisonRequestTable(ttl_ms=100)
    assert apply_crash_report(table, report("a/1"), 0)
    assert not apply_crash_report(table, report("a/1"), 1)
    assert poison_status(table, "print", 1) is PoisonStatus.SUSPECT
    apply_crash_report(table, report("b/1"), 10)
    assert poison_status(table, "print", 109) is PoisonStatus.REFUSED
    assert poison_status(table, "print", 110) is PoisonStatus.NONE


def test_clean_run_clears_only_the_crashes_before_it():
    table = PoisonRequestTable(ttl_ms=100)
    apply_crash_report(table, report("a/1"), 0)
    apply_crash_report(table, report("b/1"), 0)
    assert poison_status(table, "print", 1) is PoisonStatus.REFUSED
    assert apply_crash_report(table, report("a/1", cleared=True), 1)
    assert poison_status(table, "print", 1) is PoisonStatus.SUSPECT
    assert apply_crash_report(table, report("a/1", "b/1", cleared=True), 1)
    assert poison_status(table, "print", 1) is PoisonStatus.NONE


@pytest.mark.parametrize("early", [True, False])
def test_repeated_crash_report_does_not_undo_a_clean_run(early):
    """Guard against a request that stays refused because a peer repeats an old crash report."""
    table = PoisonRequestTable(ttl_ms=100)
    if early:
        apply_crash_report(table, report("a/1"), 0)
    apply_crash_report(table, report("a/1", cleared=True), 1)
    apply_crash_report(table, report("a/1"), 2)
    assert poison_status(table, "print", 3) is PoisonStatus.NONE
    apply_crash_report(table, report("b/1"), 4)
    assert poison_status(table, "print", 5) is PoisonStatus.SUSPECT


def test_one_server_without_a_crash_may_run_a_suspected_request():
    table = PoisonRequestTable(ttl_ms=100)
    apply_crash_report(table, report("a/1"), 0)
    named = choose_quarantine_server(table, "print", ["a", "b", "c"])
    assert named in ("b", "c")
    assert named == choose_quarantine_server(table, "print", ["c", "a", "b"])
    assert choose_quarantine_server(table, "print", ["a"]) == "a"


def test_fingerprint_depends_on_the_listed_headers_only():
    def fingerprint(*headers: Header) -> str:
        return fingerprint_of(CallRequest("shop", "GET", "/", headers), ["x-order"])

    assert fingerprint(Header("X-Order", "1")) != fingerprint(Header("X-Order", "2"))
    assert fingerprint(Header("User-Agent", "1")) == fingerprint(Header("User-Agent", "2"))
