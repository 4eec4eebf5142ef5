"""Compare lease refresh rules by messages, false lease ends and time to notice a failure.

A simulation with virtual time: each peer sends heartbeats by a rule, each heartbeat is delayed, and
a lease ends a fixed time after the last one that arrived. A lease end of a running peer is false.
"""

import sys
from random import Random

LEASE_MS = 2_000
PERIOD_MS = 500
PEERS = 2_000
DURATION_MS = 600_000
USUAL_DELAY_MS = (0.5, 5)
# Each heartbeat meets a stall of this range with the probability of the scenario.
STALL_MS = (200, 1_200)
STALLS = (0.0, 0.001, 0.01, 0.05)


def fixed_period(random: Random, first: bool) -> float:
    return random.uniform(0, PERIOD_MS) if first else PERIOD_MS


def refresh_at_80_percent(random: Random, first: bool) -> float:
    return random.uniform(0, LEASE_MS) if first else LEASE_MS * (0.8 + random.uniform(0, 0.05))


RULES = {"fixed 500 ms": fixed_period, "80% + 0..5%": refresh_at_80_percent}


def run_peer(rule, random: Random, stall: float) -> tuple[int, int, float]:
    """Return messages, false lease ends and the time to notice a failure at a random time."""
    failure_ms = random.uniform(DURATION_MS / 2, DURATION_MS)
    sent_ms, arrivals = rule(random, True), []
    while sent_ms < failure_ms:
        delay_ms = random.uniform(*USUAL_DELAY_MS)
        if random.random() < stall:
            delay_ms += random.uniform(*STALL_MS)
        # Heartbeats share one stream, so a late one holds up those behind it.
        arrivals.append(max(sent_ms + delay_ms, arrivals[-1] if arrivals else 0))
        sent_ms += rule(random, False)
    gaps = zip(arrivals, arrivals[1:], strict=False)
    false_ends = sum(later - earlier > LEASE_MS for earlier, later in gaps)
    return len(arrivals), false_ends, arrivals[-1] + LEASE_MS - failure_ms


def main() -> None:
    """Print one line for each rule and rate of stalls."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("rule           stalls  messages/s  false ends/peer/h  noticed p50 ms  p99 ms")
    for stall in STALLS:
        for name, rule in RULES.items():
            random = Random(seed)
            runs = [run_peer(rule, random, stall) for _ in range(PEERS)]
            hours = PEERS * DURATION_MS * 0.75 / 3_600_000
            rate = sum(run[0] for run in runs) / (hours * 3600)
            false_ends = sum(run[1] for run in runs) / hours
            noticed = sorted(run[2] for run in runs)
            p50, p99 = noticed[PEERS // 2], noticed[PEERS * 99 // 100]
            print(f"{name:14} {stall:6.1%} {rate:11.2f} {false_ends:18.2f} {p50:15.0f} {p99:7.0f}")


if __name__ == "__main__":
    main()
