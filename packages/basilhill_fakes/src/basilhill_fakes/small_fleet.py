"""Small fleet with one origin node and a few executors of one call, for tests of single calls."""

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import count
from pathlib import Path

from attrs import define, field

from basilhill_fakes.caller import CallAttempt, Caller
from basilhill_fakes.history import Event, EventKind, HistoryWriter, read_history
from basilhill_fakes.pacing import send_at_rate
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.queries.histories import (
    Violation,
    double_runs,
    false_refusals,
    refused_but_run,
    wrong_answers,
)
from basilhill_fakes.topology import Vm
from basilhill_fakes.workloads import DEGUSTARI, find_fake_call

ROOT = Path(__file__).parents[4]
CALL = "deposits.take"
ACTION = """
[team.deposits.action.take-deposit]
entry = "deposits.take"
class = "transaction"
timeout_ms = 3000
retries = 1
"""
SLOW_FACTOR = 40


@define(eq=False)
class RequestSender(Caller):
    """Caller that sends single attempts through chosen nodes."""

    async def new_token(self, coordinator: Vm) -> str:
        """Return a new token issued by a node."""
        call = find_fake_call(self.workload, CALL)
        event = await self.send(CallAttempt(CALL, call, order="", vm=coordinator))
        assert event.status == 428
        return self.tokens[coordinator.address].pop().text

    async def send_request(self, vm: Vm, order: str, token: str, attempt: int = 0) -> Event:
        """Send one attempt with a token through a node; return the response event."""
        call = find_fake_call(self.workload, CALL)
        return await self.send(CallAttempt(CALL, call, order, token=token, attempt=attempt, vm=vm))


@define
class SmallFleet:
    """Fleet with one calendar node as the origin of calls and the deposits nodes as executors."""

    fleet: Fleet
    sender: RequestSender
    order_numbers: Iterator[int] = field(factory=count)

    @property
    def origin(self) -> Vm:
        """Return the VM of the origin, whose backend server does not serve the call."""
        return self.fleet.topology.servers_of("calendar")[0]

    @property
    def executors(self) -> list[Vm]:
        """Return the VMs whose backend servers serve the call."""
        return self.fleet.topology.servers_of("deposits")

    async def slow_servers(self) -> None:
        """Slow down all servers of the call."""
        for vm in self.executors:
            await self.set_faults(vm, slow_factor=SLOW_FACTOR)

    async def set_faults(self, vm: Vm, **faults) -> None:
        await self.fleet.put(f"{vm.backend_url}/test/faults", faults)

    async def partition(self, vm: Vm, *peers: Vm) -> None:
        """Block messages between a node and these peers, and unblock all other peers."""
        await self.fleet.put(f"{vm.control_url}/test/cut", [peer.node for peer in peers])

    async def break_streams(self, vm: Vm, *peers: Vm) -> None:
        """Break the streams between a node and these peers; allow all other peers to reconnect."""
        await self.fleet.put(f"{vm.control_url}/test/broken", [peer.node for peer in peers])

    async def issue_tokens(self, number: int) -> dict[str, str]:
        """Return new orders with tokens whose coordinator is the origin."""
        tokens = (self.sender.new_token(self.origin) for _ in range(number))
        return {
            f"order-{next(self.order_numbers)}": token for token in await asyncio.gather(*tokens)
        }

    def send_all(self, orders: dict[str, str], attempt: int = 0) -> asyncio.Future:
        """Send one attempt of each order through the origin."""
        attempts = (self.sender.send_request(self.origin, o, t, attempt) for o, t in orders.items())
        return asyncio.gather(*attempts)

    async def send_steadily(self, calls_per_s: float, duration_s: float) -> list[Event]:
        """Send calls through the origin at a fixed rate; return the response events."""
        orders = iter((await self.issue_tokens(int(calls_per_s * duration_s))).items())
        return await send_at_rate(
            lambda: self.sender.send_request(self.origin, *next(orders)), calls_per_s, duration_s
        )

    async def restart(self, vm: Vm) -> None:
        """Kill a node and its backend server, and restart both."""
        names = (f"node-{vm.address}", f"backend-{vm.address}")
        for name in names:
            self.fleet.signal(name, signal.SIGKILL)
        for name in names:
            await self.fleet.wait_ended(name)
        await self.fleet.start_backend(vm)
        await self.fleet.start_node(vm)

    def events(self) -> list[Event]:
        """Return the events recorded so far."""
        return read_history(self.fleet.history)

    def find_violations(self) -> list[Violation]:
        """Return the violations that the checks of single calls find in the events so far."""
        events = self.events()
        found = double_runs(events) + false_refusals(events) + wrong_answers(events)
        return found + refused_but_run(events)

    def runs(self) -> Counter[str]:
        """Return the number of runs of each order so far."""
        return Counter(
            event.order for event in self.events() if event.kind is EventKind.RUN_STARTED
        )


@asynccontextmanager
async def small_fleet(directory: Path, executors: int = 2, **settings) -> AsyncIterator[SmallFleet]:
    """Start a fleet with these settings, and stop it on exit."""
    counts = {"calendar": 1, "reservations": 0, "flavours": 0, "deposits": executors}
    fleet = new_fleet(DEGUSTARI, directory, counts=counts, settings=settings)
    sender = RequestSender(DEGUSTARI, fleet.topology, HistoryWriter(fleet.history / "caller.jsonl"))
    try:
        await fleet.start((ROOT / DEGUSTARI.document).read_text() + ACTION)
        yield SmallFleet(fleet, sender)
    finally:
        await sender.session.close()
        await fleet.stop()


@asynccontextmanager
async def paired_fleets(
    directory: Path, mechanism: str, **settings
) -> AsyncIterator[list[SmallFleet]]:
    """Start two equal fleets, the second one with a mechanism disabled."""
    disabled_settings = {"disabled_mechanisms": [mechanism], **settings}
    async with AsyncExitStack() as stack:
        yield await asyncio.gather(
            stack.enter_async_context(small_fleet(directory / "on", **settings)),
            stack.enter_async_context(small_fleet(directory / "off", **disabled_settings)),
        )


def execution_statuses(events: list[Event]) -> list[str]:
    """Return the execution statuses of responses."""
    return [event.verdict for event in events]
