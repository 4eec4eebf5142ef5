"""Learn from the arrival of messages."""

from basilhill.transits import TransitMeter


def record_transit(meter: TransitMeter, sent_ms: int, now_ms: int) -> None:
    """Take in a message that the sender's clock dates and that arrives now."""
    difference_ms = now_ms - sent_ms
    if meter.least_ms is None or now_ms - meter.window_start_ms >= meter.window_ms:
        meter.least_before_ms, meter.least_ms = meter.least_ms, difference_ms
        meter.window_start_ms = now_ms
    meter.least_ms = min(meter.least_ms, difference_ms)
