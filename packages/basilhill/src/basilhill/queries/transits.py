"""Read the estimated transit time of messages."""

from basilhill.transits import TransitMeter


def excess_transit_ms(meter: TransitMeter, sent_ms: int, now_ms: int) -> int:
    """Return the transit time of a message in excess of the fastest one, in milliseconds."""
    known = [least for least in (meter.least_ms, meter.least_before_ms) if least is not None]
    return max(0, now_ms - sent_ms - min(known)) if known else 0
