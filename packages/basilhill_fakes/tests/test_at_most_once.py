"""Tests of at-most-once execution with real node processes and injected faults."""

import asyncio
import signal
from pathlib import Path

import pytest
from basilhill_fakes.history import Event
from basilhill_fakes.queries.histories import unresolved_requests
from basilhill_fakes.small_fleet import SmallFleet, execution_statuses, paired_fleets, small_fleet

# The lease of the paused executor must not expire before the deadline of its calls, because the
# tests check the deadline.
LONG_LEASE = {"lease_ms": 20_000}


async def race_duplicates(small: SmallFleet) -> list[Event]:
    """Send duplicates of one token through all nodes at once, and one more after their end."""
    await small.slow_servers()
    token = await small.sender.new_token(small.origin)
    nodes = [small.origin, *small.executors]
    attempts = (small.sender.send_request(vm, "order", token, n) for n, vm in enumerate(nodes))
    events = await asyncio.gather(*attempts)
    late = await small.sender.send_request(nodes[-1], "order", token, 3)
    return [*events, late]


async def test_duplicates_through_all_nodes_share_one_run(tmp_path):
    """Guard against duplicate execution when every node gets the same token at the same time."""
    async with paired_fleets(tmp_path, "token-records") as (small, unprotected):
        events, _ = await asyncio.gather(race_duplicates(small), race_duplicates(unprotected))
        assert execution_statuses(events) == ["answered"] * 4
        assert small.runs() == {"order": 1}
        assert small.find_violations() == []
        assert [violation.check for violation in unprotected.find_violations()] == ["double-run"]


@pytest.mark.parametrize("process", ["node", "backend"])
async def test_killed_executor_process_causes_no_second_run(tmp_path, process):
    """Guard against a second run of a call whose response was lost with a killed process."""
    async with small_fleet(tmp_path) as small:
        await small.slow_servers()
        orders = await small.issue_tokens(12)
        sending = small.send_all(orders)
        await asyncio.sleep(0.2)
        small.fleet.signal(f"{process}-{small.executors[0].address}", signal.SIGKILL)
        first = await sending
        second = await small.send_all(orders, attempt=1)
        assert "may-have-run" in execution_statuses(first)
        assert execution_statuses(second) == execution_statuses(first)
        assert small.find_violations() == []


async def test_killed_coordinator_gives_may_have_run_and_not_run_correctly(tmp_path):
    """Guard against a false "not run" for calls whose coordinator was killed and restarted."""
    async with small_fleet(tmp_path) as small:
        await small.slow_servers()
        orders = await small.issue_tokens(4)
        unused_token = await small.sender.new_token(small.origin)
        other = small.executors[0]
        attempts = (
            small.sender.send_request(other, order, token) for order, token in orders.items()
        )
        sending = asyncio.gather(*attempts)
        await asyncio.sleep(0.2)
        small.fleet.signal(f"node-{small.origin.address}", signal.SIGKILL)
        assert execution_statuses(await sending) == ["may-have-run"] * 4
        unsent = await small.sender.send_request(other, "unsent", unused_token)
        assert unsent.verdict == "not-run"
        await small.fleet.wait_ended(f"node-{small.origin.address}")
        await small.fleet.start_node(small.origin)
        later = await small.send_all(orders, attempt=1)
        assert execution_statuses(later) == ["may-have-run"] * 4
        assert small.find_violations() == []


async def pause_executor(small: SmallFleet) -> list[Event]:
    """Pause the executor beyond the deadline of calls; return the responses to duplicates.

    The coordinator is also paused before the deadline, so that it sends no cancellation.
    """
    executor, coordinator = f"node-{small.executors[0].address}", f"node-{small.origin.address}"
    await small.send_all(await small.issue_tokens(2))
    orders = {f"late-{order}": token for order, token in (await small.issue_tokens(4)).items()}
    small.sender.timeout_ms = 500
    small.fleet.signal(executor, signal.SIGSTOP)
    sending = small.send_all(orders)
    await asyncio.sleep(0.25)
    small.fleet.signal(coordinator, signal.SIGSTOP)
    await asyncio.sleep(0.5)
    small.fleet.signal(executor, signal.SIGCONT)
    await asyncio.sleep(0.3)
    small.fleet.signal(coordinator, signal.SIGCONT)
    await sending
    await asyncio.sleep(1.0)
    return await small.send_all(orders, attempt=1)


def count_late_runs(small: SmallFleet) -> int:
    return sum(count for order, count in small.runs().items() if order.startswith("late-"))


async def test_paused_executor_starts_no_run_after_the_deadline(tmp_path):
    """Guard against a run after the deadline, for calls that waited in a paused executor."""
    async with paired_fleets(tmp_path, "deadline-check", executors=1, **LONG_LEASE) as (
        small,
        unprotected,
    ):
        attempts, _ = await asyncio.gather(pause_executor(small), pause_executor(unprotected))
        # By now the coordinator has queried the executor and knows that the calls did not run.
        assert execution_statuses(attempts) == ["not-run"] * 4
        assert count_late_runs(small) == 0
        assert small.find_violations() == []
        assert count_late_runs(unprotected) > 0


async def test_paused_coordinator_keeps_its_records(tmp_path):
    """Guard against lost or repeated calls when their coordinator is paused and resumes."""
    async with small_fleet(tmp_path) as small:
        await small.slow_servers()
        orders = await small.issue_tokens(6)
        name = f"node-{small.origin.address}"
        sending = small.send_all(orders)
        await asyncio.sleep(0.2)
        small.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(1.2)
        small.fleet.signal(name, signal.SIGCONT)
        first = await sending
        second = await small.send_all(orders, attempt=1)
        assert execution_statuses(first) == ["answered"] * 6
        assert execution_statuses(second) == ["answered"] * 6
        assert small.find_violations() == []


async def test_partition_between_coordinator_and_executor_causes_no_second_run(tmp_path):
    """Guard against a second run of calls whose executor is partitioned while they run."""
    async with small_fleet(tmp_path) as small:
        await small.slow_servers()
        small.sender.timeout_ms = 1000
        orders = await small.issue_tokens(8)
        sending = small.send_all(orders)
        await asyncio.sleep(0.2)
        await small.partition(small.origin, small.executors[0])
        first = await sending
        await small.partition(small.origin)
        await asyncio.sleep(1.5)
        second = await small.send_all(orders, attempt=1)
        assert "may-have-run" in execution_statuses(first)
        # The coordinator learns the status of the uncertain calls after the partition.
        assert execution_statuses(second) == ["answered"] * 8
        assert small.find_violations() == []


async def lose_replies(small: SmallFleet) -> tuple[list[Event], list[Event]]:
    """Break the streams to the executors during calls; return the responses to both attempts."""
    await small.slow_servers()
    orders = await small.issue_tokens(6)
    sending = small.send_all(orders)
    await asyncio.sleep(0.2)
    await small.break_streams(small.origin, *small.executors)
    await asyncio.sleep(0.5)
    await small.break_streams(small.origin)
    first = await sending
    await asyncio.sleep(0.5)
    return first, await small.send_all(orders, attempt=1)


async def test_lost_replies_are_requested_from_the_executor(tmp_path):
    """Guard against calls that stay uncertain although their executor has the result.

    The peer streams break before the replies arrive. The executors keep running.
    """
    async with paired_fleets(tmp_path, "revocation") as (small, unprotected):
        (first, second), _ = await asyncio.gather(lose_replies(small), lose_replies(unprotected))
        assert execution_statuses(first) == execution_statuses(second) == ["answered"] * 6
        assert small.find_violations() == unresolved_requests(small.events()) == []
        # Without the query to the executor the status is correct but stays "may have run".
        assert unprotected.find_violations() == []
        assert len(unresolved_requests(unprotected.events())) == 6


async def test_partitioned_coordinator_gives_not_run_only_to_a_first_attempt(tmp_path):
    """Guard against "not run" for a repeated attempt whose coordinator cannot be reached."""
    async with small_fleet(tmp_path) as small:
        other = small.executors[0]
        small.sender.timeout_ms = 500
        orders = await small.issue_tokens(2)
        await small.partition(other, small.origin)
        first = await small.sender.send_request(other, "order-0", orders["order-0"])
        repeat = await small.sender.send_request(other, "order-1", orders["order-1"], attempt=1)
        assert (first.verdict, repeat.verdict) == ("not-run", "may-have-run")
        assert small.find_violations() == []


async def test_truncated_response_is_neither_forwarded_nor_retried(tmp_path):
    """Guard against a truncated response that reaches the caller or causes a second run."""
    async with small_fleet(tmp_path) as small:
        orders = await small.issue_tokens(3)
        for vm in small.executors:
            await small.set_faults(vm, truncate_order="order-1")
        first = await small.send_all(orders)
        second = await small.send_all(orders, attempt=1)
        assert execution_statuses(first) == ["answered", "may-have-run", "answered"]
        assert execution_statuses(second) == execution_statuses(first)
        assert small.find_violations() == []


async def refuse_then_repeat(small: SmallFleet) -> tuple[Event, Event]:
    """Exceed the customer limit at one node, then send a duplicate through another node."""
    other = small.executors[0]
    small.sender.customer = "hasty"
    for vm in small.executors:
        await small.set_faults(vm, truncate_order="spent")
    await small.sender.send_request(other, "spent", await small.sender.new_token(small.origin))
    token = await small.sender.new_token(small.origin)
    refused = await small.sender.send_request(other, "order", token)
    return refused, await small.sender.send_request(small.origin, "order", token, attempt=1)


ONE_PERMIT = {"customer_burst": 1, "customer_rate_per_s": 0.01}


async def test_refusal_by_the_origin_binds_the_coordinator(tmp_path):
    """Guard against a run of a call after another node reported it as refused."""
    async with paired_fleets(tmp_path, "key-rejection", **ONE_PERMIT) as (small, unprotected):
        attempts, _ = await asyncio.gather(
            refuse_then_repeat(small), refuse_then_repeat(unprotected)
        )
        assert [event.status for event in attempts] == [429, 429]
        assert execution_statuses(attempts) == ["not-run"] * 2
        assert small.find_violations() == []
        assert {violation.check for violation in unprotected.find_violations()} == {
            "false-refusal",
            "refused-and-run",
        }


async def retries_of_refused_call(directory: Path, **settings) -> int:
    """Return the number of retries of a call whose backend servers are all down."""
    async with small_fleet(directory, executors=3, **settings) as small:
        for vm in small.executors:
            name = f"backend-{vm.address}"
            small.fleet.signal(name, signal.SIGKILL)
            await small.fleet.wait_ended(name)
        event = (await small.send_all(await small.issue_tokens(1)))[0]
        assert event.verdict == "not-run"
        assert small.find_violations() == []
        return event.retries


async def test_retries_stay_within_the_budget_of_the_action(tmp_path):
    """Guard against retry amplification when all backend servers refuse connections."""
    off = {"disabled_mechanisms": ["retry-budget"]}
    within, beyond = await asyncio.gather(
        retries_of_refused_call(tmp_path / "on"),
        retries_of_refused_call(tmp_path / "off", **off),
    )
    assert within == 1
    assert beyond > 1
