"""Tests of at-most-once execution with real processes and faults."""

import asyncio
import signal
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from attrs import define
from basilhill_fakes.caller import Caller, Copy
from basilhill_fakes.history import Event, EventKind, HistoryWriter, read_history
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.queries.histories import (
    Violation,
    double_runs,
    false_refusals,
    wrong_answers,
)
from basilhill_fakes.topology import Vm
from basilhill_fakes.workloads import DEGUSTARI, find_fake_call

ROOT = Path(__file__).parents[3]
CALL = "deposits.take"
ACTION = """
[team.deposits.action.take-deposit]
entry = "deposits.take"
class = "transaction"
timeout_ms = 3000
retries = 1
"""
SLOW = 40
# The lease must not hide the executor before the deadline shows what is under test.
LONG_LEASE = {"lease_ms": 20_000}


@define(eq=False)
class CopySender(Caller):
    """Send single copies through chosen nodes."""

    async def new_token(self, coordinator: Vm) -> str:
        call = find_fake_call(self.workload, CALL)
        event = await self.send(Copy(CALL, call, order="", vm=coordinator))
        assert event.status == 428
        return self.tokens[coordinator.address].pop().text

    async def copy(self, front: Vm, order: str, token: str, attempt: int = 0) -> Event:
        call = find_fake_call(self.workload, CALL)
        return await self.send(Copy(CALL, call, order, token=token, attempt=attempt, vm=front))


@define
class Scene:
    """Hold a fleet with one calendar node as a pure front and the nodes of deposits."""

    fleet: Fleet
    sender: CopySender

    @property
    def front(self) -> Vm:
        return self.fleet.topology.servers_of("calendar")[0]

    @property
    def executors(self) -> list[Vm]:
        return self.fleet.topology.servers_of("deposits")

    async def slow_down(self) -> None:
        for vm in self.executors:
            await self.faults(vm, slow_factor=SLOW)

    async def faults(self, vm: Vm, **faults) -> None:
        await self.fleet.put(f"{vm.backend_url}/test/faults", faults)

    async def cut(self, vm: Vm, *peers: Vm) -> None:
        await self.fleet.put(f"{vm.control_url}/test/cut", [peer.node for peer in peers])

    async def tokens(self, count: int) -> dict[str, str]:
        """Return orders with tokens that the front coordinates."""
        return {f"order-{n}": await self.sender.new_token(self.front) for n in range(count)}

    def send_all(self, orders: dict[str, str], attempt: int = 0) -> asyncio.Future:
        copies = (self.sender.copy(self.front, o, t, attempt) for o, t in orders.items())
        return asyncio.gather(*copies)

    def judge(self) -> list[Violation]:
        events = read_history(self.fleet.history)
        found = double_runs(events) + false_refusals(events) + wrong_answers(events)
        return found + refused_and_run(events)

    def runs(self) -> dict[str, int]:
        events = read_history(self.fleet.history)
        started = [event.order for event in events if event.kind is EventKind.RUN_STARTED]
        return {order: started.count(order) for order in started}


def refused_and_run(events: list[Event]) -> list[Violation]:
    """Return orders of which one copy was told "not run" and any copy ran.

    Stricter than `false_refusals`: in this file each order has only one token.
    """
    received = [event for event in events if event.kind is EventKind.ANSWER_RECEIVED]
    refused = {event.order for event in received if event.order and event.verdict == "not-run"}
    ran = {event.order for event in events if event.kind is EventKind.RUN_STARTED}
    return [Violation("refused-and-run", order) for order in sorted(refused & ran)]


@asynccontextmanager
async def scene(directory: Path, executors: int = 2, **settings):
    counts = {"calendar": 1, "reservations": 0, "flavours": 0, "deposits": executors}
    fleet = new_fleet(DEGUSTARI, directory, counts=counts, settings=settings)
    sender = CopySender(DEGUSTARI, fleet.topology, HistoryWriter(fleet.history / "caller.jsonl"))
    try:
        await fleet.start((ROOT / DEGUSTARI.document).read_text() + ACTION)
        yield Scene(fleet, sender)
    finally:
        await sender.session.close()
        await fleet.stop()


@asynccontextmanager
async def scenes(directory: Path, mechanism: str, **settings):
    """Start two like fleets, the second one with a mechanism off."""
    off = {"disabled_mechanisms": [mechanism], **settings}
    async with AsyncExitStack() as stack:
        yield await asyncio.gather(
            stack.enter_async_context(scene(directory / "on", **settings)),
            stack.enter_async_context(scene(directory / "off", **off)),
        )


def verdicts(events: list[Event]) -> list[str]:
    return [event.verdict for event in events]


async def race_copies(stage: Scene) -> list[Event]:
    """Send copies of one token through every node at once, and late ones afterwards."""
    await stage.slow_down()
    token = await stage.sender.new_token(stage.front)
    nodes = [stage.front, *stage.executors]
    copies = (stage.sender.copy(vm, "order", token, n) for n, vm in enumerate(nodes))
    events = await asyncio.gather(*copies)
    late = await stage.sender.copy(nodes[-1], "order", token, 3)
    return [*events, late]


async def test_copies_through_all_nodes_share_one_run(tmp_path):
    async with scenes(tmp_path, "token-records") as (stage, broken):
        events, _ = await asyncio.gather(race_copies(stage), race_copies(broken))
        assert verdicts(events) == ["answered"] * 4
        assert stage.runs() == {"order": 1}
        assert stage.judge() == []
        assert [violation.check for violation in broken.judge()] == ["double-run"]


async def test_killed_executor_leads_to_no_second_run(tmp_path):
    async with scene(tmp_path) as stage:
        await stage.slow_down()
        orders = await stage.tokens(12)
        sending = stage.send_all(orders)
        await asyncio.sleep(0.2)
        stage.fleet.signal(f"node-{stage.executors[0].address}", signal.SIGKILL)
        first = await sending
        second = await stage.send_all(orders, attempt=1)
        assert "may-have-run" in verdicts(first)
        assert verdicts(second) == verdicts(first)
        assert stage.judge() == []


async def test_killed_backend_server_leads_to_no_second_run(tmp_path):
    async with scene(tmp_path) as stage:
        await stage.slow_down()
        orders = await stage.tokens(12)
        sending = stage.send_all(orders)
        await asyncio.sleep(0.2)
        stage.fleet.signal(f"backend-{stage.executors[0].address}", signal.SIGKILL)
        first = await sending
        second = await stage.send_all(orders, attempt=1)
        assert "may-have-run" in verdicts(first)
        assert verdicts(second) == verdicts(first)
        assert stage.judge() == []


async def test_killed_coordinator_leaves_uncertain_copies_and_true_refusals(tmp_path):
    async with scene(tmp_path) as stage:
        await stage.slow_down()
        orders = await stage.tokens(4)
        fresh = await stage.sender.new_token(stage.front)
        other = stage.executors[0]
        copies = (stage.sender.copy(other, order, token) for order, token in orders.items())
        sending = asyncio.gather(*copies)
        await asyncio.sleep(0.2)
        stage.fleet.signal(f"node-{stage.front.address}", signal.SIGKILL)
        assert verdicts(await sending) == ["may-have-run"] * 4
        unsent = await stage.sender.copy(other, "unsent", fresh)
        assert unsent.verdict == "not-run"
        await stage.fleet.wait_ended(f"node-{stage.front.address}")
        await stage.fleet.start_node(stage.front)
        later = await stage.send_all(orders, attempt=1)
        assert verdicts(later) == ["may-have-run"] * 4
        assert stage.judge() == []


async def pause_executor(stage: Scene) -> list[Event]:
    """Pause the executor beyond the deadline of sent calls; return what later copies are told.

    The coordinator pauses too before the deadline, so that it sends no cancellation.
    """
    executor, coordinator = f"node-{stage.executors[0].address}", f"node-{stage.front.address}"
    await stage.send_all(await stage.tokens(2))
    orders = {f"late-{order}": token for order, token in (await stage.tokens(4)).items()}
    stage.sender.timeout_ms = 500
    stage.fleet.signal(executor, signal.SIGSTOP)
    sending = stage.send_all(orders)
    await asyncio.sleep(0.25)
    stage.fleet.signal(coordinator, signal.SIGSTOP)
    await asyncio.sleep(0.5)
    stage.fleet.signal(executor, signal.SIGCONT)
    await asyncio.sleep(0.3)
    stage.fleet.signal(coordinator, signal.SIGCONT)
    await sending
    await asyncio.sleep(1.0)
    return await stage.send_all(orders, attempt=1)


def late_runs(stage: Scene) -> int:
    return sum(count for order, count in stage.runs().items() if order.startswith("late-"))


async def test_paused_executor_starts_nothing_after_the_deadline(tmp_path):
    async with scenes(tmp_path, "deadline-check", executors=1, **LONG_LEASE) as (stage, broken):
        copies, _ = await asyncio.gather(pause_executor(stage), pause_executor(broken))
        # The coordinator has asked the executor since, so it knows that nothing ran.
        assert verdicts(copies) == ["not-run"] * 4
        assert late_runs(stage) == 0
        assert stage.judge() == []
        assert late_runs(broken) > 0


async def test_paused_coordinator_keeps_its_records(tmp_path):
    async with scene(tmp_path) as stage:
        await stage.slow_down()
        orders = await stage.tokens(6)
        name = f"node-{stage.front.address}"
        sending = stage.send_all(orders)
        await asyncio.sleep(0.2)
        stage.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(1.2)
        stage.fleet.signal(name, signal.SIGCONT)
        first = await sending
        second = await stage.send_all(orders, attempt=1)
        assert verdicts(first) == ["answered"] * 6
        assert verdicts(second) == ["answered"] * 6
        assert stage.judge() == []


async def test_cut_between_coordinator_and_executor_leads_to_no_second_run(tmp_path):
    async with scene(tmp_path) as stage:
        await stage.slow_down()
        stage.sender.timeout_ms = 1000
        orders = await stage.tokens(8)
        sending = stage.send_all(orders)
        await asyncio.sleep(0.2)
        await stage.cut(stage.front, stage.executors[0])
        first = await sending
        await stage.cut(stage.front)
        await asyncio.sleep(1.5)
        second = await stage.send_all(orders, attempt=1)
        assert "may-have-run" in verdicts(first)
        # What was uncertain behind the cut is known to the coordinator after it.
        assert verdicts(second) == ["answered"] * 8
        assert stage.judge() == []


async def test_cut_coordinator_answers_by_whether_a_copy_was_sent(tmp_path):
    async with scene(tmp_path) as stage:
        other = stage.executors[0]
        stage.sender.timeout_ms = 500
        orders = await stage.tokens(2)
        await stage.cut(other, stage.front)
        first = await stage.sender.copy(other, "order-0", orders["order-0"])
        repeat = await stage.sender.copy(other, "order-1", orders["order-1"], attempt=1)
        assert (first.verdict, repeat.verdict) == ("not-run", "may-have-run")
        assert stage.judge() == []


async def test_truncated_answer_is_never_passed_on_or_run_again(tmp_path):
    async with scene(tmp_path) as stage:
        orders = await stage.tokens(3)
        for vm in stage.executors:
            await stage.faults(vm, truncate_order="order-1")
        first = await stage.send_all(orders)
        second = await stage.send_all(orders, attempt=1)
        assert verdicts(first) == ["answered", "may-have-run", "answered"]
        assert verdicts(second) == verdicts(first)
        assert stage.judge() == []


async def refuse_then_repeat(stage: Scene) -> tuple[Event, Event]:
    """Let a node refuse one copy for its customer's limit, and send another copy elsewhere."""
    other = stage.executors[0]
    stage.sender.customer = "hasty"
    for vm in stage.executors:
        await stage.faults(vm, truncate_order="spent")
    await stage.sender.copy(other, "spent", await stage.sender.new_token(stage.front))
    token = await stage.sender.new_token(stage.front)
    refused = await stage.sender.copy(other, "order", token)
    return refused, await stage.sender.copy(stage.front, "order", token, attempt=1)


ONE_PERMIT = {"customer_burst": 1, "customer_rate_per_s": 0.01}


async def test_refusal_on_the_way_binds_the_coordinator(tmp_path):
    async with scenes(tmp_path, "key-rejection", **ONE_PERMIT) as (stage, broken):
        copies, _ = await asyncio.gather(refuse_then_repeat(stage), refuse_then_repeat(broken))
        assert [event.status for event in copies] == [429, 429]
        assert verdicts(copies) == ["not-run"] * 2
        assert stage.judge() == []
        assert {violation.check for violation in broken.judge()} == {
            "false-refusal",
            "refused-and-run",
        }


async def retries_of_refused_call(directory: Path, **settings) -> int:
    """Return the retries of a call that no backend server accepts."""
    async with scene(directory, executors=3, **settings) as stage:
        for vm in stage.executors:
            name = f"backend-{vm.address}"
            stage.fleet.signal(name, signal.SIGKILL)
            await stage.fleet.wait_ended(name)
        event = (await stage.send_all(await stage.tokens(1)))[0]
        assert event.verdict == "not-run"
        assert stage.judge() == []
        return event.retries


async def test_retries_stay_within_the_budget_of_the_action(tmp_path):
    off = {"disabled_mechanisms": ["retry-budget"]}
    within, beyond = await asyncio.gather(
        retries_of_refused_call(tmp_path / "on"),
        retries_of_refused_call(tmp_path / "off", **off),
    )
    assert within == 1
    assert beyond > 1
