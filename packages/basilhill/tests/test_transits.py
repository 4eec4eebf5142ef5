"""Tests of the excess transit time of messages."""

from basilhill.commands.transits import record_transit
from basilhill.queries.transits import excess_transit_ms
from basilhill.transits import TransitMeter


def arrive(meter: TransitMeter, sent_ms: int, now_ms: int) -> int:
    record_transit(meter, sent_ms, now_ms)
    return excess_transit_ms(meter, sent_ms, now_ms)


def test_delay_in_a_paused_process_is_measured_although_the_clocks_differ():
    meter = TransitMeter()
    assert arrive(meter, 5_000, 1_000) == 0
    assert arrive(meter, 6_000, 9_000) == 7_000


def test_pause_longer_than_the_window_does_not_become_the_least_transit_time():
    meter = TransitMeter(window_ms=1_000)
    arrive(meter, 0, 0)
    assert arrive(meter, 100, 50_000) == 49_900


def test_clock_drift_does_not_accumulate():
    meter = TransitMeter(window_ms=1_000)
    drifted = [arrive(meter, sent, sent + sent // 1_000) for sent in range(0, 100_000, 100)]
    assert max(drifted) <= 2
