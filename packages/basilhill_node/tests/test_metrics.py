"""Tests of the counters and latencies per customer action."""

from basilhill.outcomes import Answer, CallReply, ExecutionStatus, Reason, not_run
from basilhill_node.metrics import Metrics
from basilhill_node.queries.outcomes import latencies_ms
from expression import Error, Ok


def test_latency_below_a_millisecond_is_recorded_and_refusals_are_excluded():
    """Guard against rounding short latencies to 0, and against refusals lowering the median."""
    metrics = Metrics()
    for duration_us in (250, 350, 450):
        metrics.record_action("buy", CallReply(Ok(Answer(200))), duration_us)
    metrics.record_action("buy", CallReply(Error(not_run(Reason.OVERLOADED, ""))), 9)
    assert 0.34 < latencies_ms(metrics.actions["buy"])["p50"] < 0.36


def test_outcomes_are_counted_by_execution_status_and_reason():
    """Guard against counting a response with status 503 as completed."""
    metrics = Metrics()
    metrics.record_action("buy", CallReply(Ok(Answer(200)), 2), 10)
    metrics.record_action("buy", CallReply(Ok(Answer(503)), 1), 10)
    metrics.record_action("buy", CallReply(Error(not_run(Reason.OVERLOADED, ""))), 10)
    found = metrics.actions["buy"]
    assert found.execution_statuses[ExecutionStatus.ANSWERED] == 2
    assert (found.failed, found.retries) == (1, 3)
    assert found.reasons == {Reason.OVERLOADED: 1}
