"""Update the transit time estimate from received messages."""

from basilhill.transits import TransitMeter


def record_transit(meter: TransitMeter, sent_ms: int, now_ms: int) -> None:
    """Update the estimate with a message received now; `sent_ms` is on the sender's clock."""
    difference_ms = now_ms - sent_ms
    if meter.least_ms is None or now_ms - meter.window_start_ms >= meter.window_ms:
        meter.least_before_ms, meter.least_ms = meter.least_ms, difference_ms
        meter.window_start_ms = now_ms
    meter.least_ms = min(meter.least_ms, difference_ms)
