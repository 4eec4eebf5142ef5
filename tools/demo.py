"""Run a complete deployment on loopback, perform customer actions and print their outcomes."""

import argparse
import asyncio
import statistics
import sys
import time
from pathlib import Path

import uvloop
from attrs import define, field
from basilhill_fakes.caller import CLIENT_DISTANCE_MS, Caller
from basilhill_fakes.history import HistoryWriter, read_history
from basilhill_fakes.pacing import PathSamples, send_paced_calls
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.queries.evaluation import evaluate_history
from basilhill_fakes.workloads import WORKLOADS, Workload
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

ROOT = Path(__file__).parent.parent
TRANSACTIONS = 200
BROWSES = 1000
TRANSACTION_CONCURRENCY = 12
BROWSE_CONCURRENCY = 16
PROBES_PER_S = 50
PROBES_S = 4.0


@define
class OutcomeCounts:
    """Outcome counts of one kind of customer action, and the durations of completed ones."""

    completed: int = 0
    refused: int = 0
    uncertain: int = 0
    failed: int = 0
    durations_ms: list[float] = field(factory=list)


async def perform_actions(
    outcome: OutcomeCounts, action, count: int, concurrency: int, on_completed
) -> None:
    """Perform an action `count` times with limited concurrency and count the outcomes."""
    concurrency_limit = asyncio.Semaphore(concurrency)

    async def perform_action() -> None:
        async with concurrency_limit:
            started = time.perf_counter()
            event = await action()
            if event.status == 200:
                outcome.completed += 1
                outcome.durations_ms.append((time.perf_counter() - started) * 1000)
            elif event.verdict == "not-run":
                outcome.refused += 1
            elif event.verdict == "answered":
                outcome.failed += 1
            else:
                outcome.uncertain += 1
            on_completed()

    await asyncio.gather(*(perform_action() for _ in range(count)))


async def measure_added_latency_ms(fleet: Fleet, caller: Caller) -> tuple[float, float]:
    """Return the p50 and p99 latency that a node adds to a call of its local backend server."""
    service, name = fleet.workload.probe.split(".")
    path = fleet.workload.services[service].calls[name].path
    vm = fleet.topology.servers_of(service)[0]
    direct = PathSamples(f"{vm.backend_url}{path}")
    node = PathSamples(f"{vm.client_url}/{service}{path}")
    await send_paced_calls(caller, [direct, node], PROBES_PER_S, PROBES_S)
    return tuple(node.quantile_ms(p) - direct.quantile_ms(p) for p in (50, 99))


def print_table(workload: Workload, outcomes: dict[str, OutcomeCounts], console: Console) -> None:
    """Print the outcome counts and latencies of the customer actions."""
    table = Table(title=f"{workload.name}: customer actions")
    for column in ("action", "completed", "not run", "may have run", "failed", "p50 ms", "p99 ms"):
        table.add_column(column, justify="left" if column == "action" else "right")
    for name, outcome in outcomes.items():
        percentiles = statistics.quantiles(outcome.durations_ms or [0.0, 0.0], n=100)
        counts = (outcome.completed, outcome.refused, outcome.uncertain, outcome.failed)
        table.add_row(name, *map(str, counts), f"{percentiles[49]:.1f}", f"{percentiles[98]:.1f}")
    console.print(table)


async def run(workload: Workload) -> int:
    """Run the demonstration and return the exit status."""
    console = Console()
    directory = ROOT / "run" / f"demo-{workload.name}-{int(time.time())}"
    fleet = new_fleet(workload, directory, simulate_distance=True)
    caller = Caller(
        workload,
        fleet.topology,
        HistoryWriter(fleet.history / "caller.jsonl"),
        distance_ms=CLIENT_DISTANCE_MS,
    )
    outcomes = {workload.transaction: OutcomeCounts(), workload.browse: OutcomeCounts()}
    try:
        console.print(f"starting {len(fleet.topology.vms)} nodes and backend servers")
        await fleet.start((ROOT / workload.document).read_text())
        with Progress(console=console) as progress:
            task = progress.add_task("customer actions", total=TRANSACTIONS + BROWSES)
            await asyncio.gather(
                perform_actions(
                    outcomes[workload.transaction],
                    caller.transact,
                    TRANSACTIONS,
                    TRANSACTION_CONCURRENCY,
                    lambda: progress.advance(task),
                ),
                perform_actions(
                    outcomes[workload.browse],
                    caller.browse,
                    BROWSES,
                    BROWSE_CONCURRENCY,
                    lambda: progress.advance(task),
                ),
            )
        caller.distance_ms = 0.0
        added_p50, added_p99 = await measure_added_latency_ms(fleet, caller)
    finally:
        await caller.session.close()
        await fleet.stop()
    print_table(workload, outcomes, console)
    console.print(f"added per call by the node: p50 {added_p50:.2f} ms, p99 {added_p99:.2f} ms")
    console.print(f"logs: {directory.relative_to(ROOT)}")
    events = read_history(fleet.history)
    violations = evaluate_history(
        events, workload, (ROOT / workload.document).read_text()
    ).violations()
    for violation in violations:
        console.print(f"invariant violated: {violation.check}: {violation.text}")
    completed = all(outcome.completed for outcome in outcomes.values())
    return 0 if completed and not violations else 1


def main() -> None:
    """Parse the arguments and exit with the status of the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workload", choices=sorted(WORKLOADS), default="degustari")
    arguments = parser.parse_args()
    sys.exit(uvloop.run(run(WORKLOADS[arguments.workload])))


if __name__ == "__main__":
    main()
