"""Tests of at-most-once execution with real processes and faults."""

import asyncio
import signal
from pathlib import Path

from basilhill_fakes.history import Event
from basilhill_fakes.queries.histories import unresolved_requests
from basilhill_fakes.scene import Scene, scene, scenes, verdicts

# The lease must not hide the executor before the deadline shows what is under test.
LONG_LEASE = {"lease_ms": 20_000}


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


async def lose_replies(stage: Scene) -> tuple[list[Event], list[Event]]:
    """Break the streams to the executors while calls run; return what two copies of each get."""
    await stage.slow_down()
    orders = await stage.tokens(6)
    sending = stage.send_all(orders)
    await asyncio.sleep(0.2)
    await stage.break_streams(stage.front, *stage.executors)
    await asyncio.sleep(0.5)
    await stage.break_streams(stage.front)
    first = await sending
    await asyncio.sleep(0.5)
    return first, await stage.send_all(orders, attempt=1)


async def test_lost_replies_are_asked_for_at_the_executor(tmp_path):
    """Guards against calls that stay uncertain although their executor knows what became of them.

    The streams break before the replies arrive, and the executors go on running.
    """
    async with scenes(tmp_path, "revocation") as (stage, broken):
        (first, second), _ = await asyncio.gather(lose_replies(stage), lose_replies(broken))
        assert verdicts(first) == verdicts(second) == ["answered"] * 6
        assert stage.judge() == unresolved_requests(stage.events()) == []
        # Without the question the verdict is still true, but it stays "may have run".
        assert broken.judge() == []
        assert len(unresolved_requests(broken.events())) == 6


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
