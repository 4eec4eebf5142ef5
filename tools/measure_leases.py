"""Compare lease refresh rules by message rate, false lease expiries and failure detection time.

A simulation in virtual time: each peer sends heartbeats by a rule, each heartbeat is delayed, and
a lease expires a fixed time after the last heartbeat arrived. The expiry of a running peer's lease
is false.
"""

import sys
from random import Random

LEASE_MS = 2_000
PERIOD_MS = 500
PEERS = 2_000
DURATION_MS = 600_000
USUAL_DELAY_MS = (0.5, 5)
# Each heartbeat is stalled for a time in this range, with a probability from STALL_RATES.
STALL_MS = (200, 1_200)
STALL_RATES = (0.0, 0.001, 0.01, 0.05)


def next_fixed_ms(random: Random, first: bool) -> float:
    return random.uniform(0, PERIOD_MS) if first else PERIOD_MS


def next_early_refresh_ms(random: Random, first: bool) -> float:
    return random.uniform(0, LEASE_MS) if first else LEASE_MS * (0.8 + random.uniform(0, 0.05))


RULES = {"fixed 500 ms": next_fixed_ms, "80% + 0..5%": next_early_refresh_ms}


def simulate_peer(rule, random: Random, stall_rate: float) -> tuple[int, int, float]:
    """Simulate one peer that fails at a random time.

    Return the messages sent, the false lease expiries and the failure detection time in ms.
    """
    failure_ms = random.uniform(DURATION_MS / 2, DURATION_MS)
    sent_ms, arrivals = rule(random, True), []
    while sent_ms < failure_ms:
        delay_ms = random.uniform(*USUAL_DELAY_MS)
        if random.random() < stall_rate:
            delay_ms += random.uniform(*STALL_MS)
        # Heartbeats share one ordered stream, so a late one delays the following ones.
        arrivals.append(max(sent_ms + delay_ms, arrivals[-1] if arrivals else 0))
        sent_ms += rule(random, False)
    gaps = zip(arrivals, arrivals[1:], strict=False)
    expiries = sum(later - earlier > LEASE_MS for earlier, later in gaps)
    return len(arrivals), expiries, arrivals[-1] + LEASE_MS - failure_ms


def main() -> None:
    """Print one line for each rule and stall rate."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("rule           stalls  messages/s  false ends/peer/h detected p50 ms  p99 ms")
    for stall_rate in STALL_RATES:
        for name, rule in RULES.items():
            random = Random(seed)
            runs = [simulate_peer(rule, random, stall_rate) for _ in range(PEERS)]
            hours = PEERS * DURATION_MS * 0.75 / 3_600_000
            rate = sum(run[0] for run in runs) / (hours * 3600)
            expiries = sum(run[1] for run in runs) / hours
            detection_ms = sorted(run[2] for run in runs)
            p50, p99 = detection_ms[PEERS // 2], detection_ms[PEERS * 99 // 100]
            print(
                f"{name:14} {stall_rate:6.1%} {rate:11.2f} {expiries:18.2f} {p50:15.0f} {p99:7.0f}"
            )


if __name__ == "__main__":
    main()
