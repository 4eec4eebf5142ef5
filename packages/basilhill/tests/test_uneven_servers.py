"""Tests of the choice among uneven servers under simulated load, without network.

Patterns of load: servers that differ in speed, a service of which all but one server refuse half of
their calls, and data centres with too few servers.
"""

import heapq
from random import Random

import pytest
from attrs import define, evolve, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import CrossingCost, LoadTable
from basilhill.commands.backends import replace_entries
from basilhill.commands.balancing import (
    find_candidates,
    find_or_add_target,
    record_call_end,
    record_call_start,
    record_choice,
    record_refusal,
    record_report,
    record_response,
    record_response_time,
)
from basilhill.commands.slots import record_shed, release_slot, request_slot
from basilhill.queries.balancing import choose_backend, crossing_cost_ms
from basilhill.queries.slots import reported_calls
from basilhill.slots import ConcurrencyLimiter, SlotDecision

ROUTE = "r-1"
SERVER = BackendEntry("i-0", "calendar", "10.0.0.1:80", "a", 10)
WORK_MS = 40


def new_entries(count: int, data_centre: str = "a", first: int = 0) -> list[BackendEntry]:
    return [
        evolve(SERVER, server_id=f"i-{n}", address=f"10.0.1.{n}:80", data_centre=data_centre)
        for n in range(first, first + count)
    ]


@define(eq=False)
class Simulation:
    """Origins that send calls to servers, which report their load with each response."""

    entries: list[BackendEntry]
    origins: list[LoadTable]
    speeds: dict[str, float] = field(factory=dict)
    shed_rates: dict[str, float] = field(factory=dict)
    random: Random = field(factory=lambda: Random(1))
    directory: BackendDirectory = field(factory=BackendDirectory)
    limiters: dict[str, ConcurrencyLimiter] = field(factory=dict)
    # Calls by server, and of these the ones that ran.
    sent: dict[str, int] = field(factory=dict)
    ran: dict[str, int] = field(factory=dict)
    calls: int = 0
    # Calls whose first server was one of another data centre.
    left: int = 0
    now_ms: float = 0.0
    number: int = 0
    # Calls that run, by the time at which they end.
    ends: list[tuple] = field(factory=list)

    def run(self, per_s: float, seconds: float, body_bytes: int = 0) -> None:
        """Send calls at random times; a call for which there is no slot is not sent again."""
        replace_entries(self.directory, self.entries)
        for entry in self.entries:
            self.limiters.setdefault(entry.server_id, ConcurrencyLimiter(entry.slots))
        until_ms = self.now_ms + seconds * 1000
        while self.now_ms < until_ms:
            self.now_ms += self.random.expovariate(per_s / 1000)
            while self.ends and self.ends[0][0] <= self.now_ms:
                self.end(*heapq.heappop(self.ends))
            self.number += 1
            loads = self.origins[self.number % len(self.origins)]
            self.send(loads, self.now_ms, body_bytes, self.ends, self.number)

    def send(self, loads: LoadTable, now_ms: float, body_bytes: int, ends: list, number: int):
        """Send a call to up to three servers, until one of them has a slot."""
        candidates = find_candidates(loads, self.directory, "calendar", int(now_ms))
        cost_ms = crossing_cost_ms(loads, CrossingCost(), ROUTE, body_bytes)
        tried: set[str] = set()
        self.calls += 1
        while len(tried) < 3:
            choice = choose_backend(
                candidates, loads, ROUTE, cost_ms, int(now_ms), self.random, frozenset(tried)
            )
            if choice is None:
                return
            record_choice(candidates, choice)
            self.left += bool(choice.crossing) and not tried
            server_id = choice.entry.server_id
            tried.add(server_id)
            target, limiter = find_or_add_target(loads, server_id), self.limiters[server_id]
            if request_slot(limiter, 0, 0, int(now_ms)).decision is SlotDecision.STARTED:
                self.start(loads, server_id, now_ms, ends, number)
                return
            record_report(target, reported_calls(limiter, int(now_ms)), int(now_ms))
            record_refusal(target, int(now_ms), 50)

    def start(self, loads, server_id, now_ms, ends, number) -> None:
        record_call_start(find_or_add_target(loads, server_id))
        self.sent[server_id] = self.sent.get(server_id, 0) + 1
        sheds = self.random.random() < self.shed_rates.get(server_id, 0.0)
        work_ms = 1.0 if sheds else self.random.gammavariate(2, WORK_MS / 2)
        work_ms /= self.speeds.get(server_id, 1.0)
        heapq.heappush(ends, (now_ms + work_ms, number, loads, server_id, sheds, work_ms))

    def end(self, now_ms, _number, loads, server_id, sheds, work_ms) -> None:
        target, limiter = find_or_add_target(loads, server_id), self.limiters[server_id]
        record_call_end(target)
        release_slot(limiter, work_ms)
        record_shed(limiter, sheds, int(now_ms))
        record_report(target, reported_calls(limiter, int(now_ms)), int(now_ms))
        record_response(target, sheds)
        if not sheds:
            self.ran[server_id] = self.ran.get(server_id, 0) + 1
            record_response_time(loads, target, ROUTE, int(work_ms), int(now_ms))

    def reset(self) -> None:
        """Count from now on."""
        self.sent.clear()
        self.ran.clear()
        self.calls = self.left = 0

    def success(self) -> float:
        return sum(self.ran.values()) / self.calls


@pytest.mark.parametrize("servers", [8, 19])
def test_one_sound_server_among_many_that_refuse_half_is_found_and_filled(servers):
    """Guard against actions of several calls that all fail at one of them.

    The sound server could run half of all calls. Random choice would send it a part of 1 in
    `servers`, and 0.45 of the other calls run. A node sends few calls to each server, so that it
    must learn from what the servers report to all.
    """
    entries = new_entries(servers)
    shed_rates = {entry.server_id: 0.55 for entry in entries[1:]}
    origins = [LoadTable("a") for _ in range(10)]
    simulation = Simulation(entries, origins, shed_rates=shed_rates)
    simulation.run(per_s=100, seconds=3)
    simulation.reset()
    simulation.run(per_s=100, seconds=10)
    assert simulation.sent["i-0"] >= 0.6 * sum(simulation.sent.values())
    assert simulation.success() >= 0.8


def test_sound_server_is_not_buried_when_it_cannot_run_all_calls():
    """Guard against a queue at the only sound server while the others run a part of the calls."""
    entries = new_entries(8)
    shed_rates = {entry.server_id: 0.55 for entry in entries[1:]}
    simulation = Simulation(entries, [LoadTable("a") for _ in range(10)], shed_rates=shed_rates)
    simulation.run(per_s=1_000, seconds=10)
    capacity = 10 * entries[0].slots / WORK_MS * 1000
    assert 0.6 * capacity <= simulation.ran["i-0"] <= capacity
    assert simulation.success() >= 0.5


def test_servers_that_refuse_alike_share_the_calls():
    """Guard against calls that follow the chance differences between equally bad servers."""
    entries = new_entries(6)
    shed_rates = {entry.server_id: 0.5 for entry in entries}
    simulation = Simulation(entries, [LoadTable("a") for _ in range(4)], shed_rates=shed_rates)
    simulation.run(per_s=200, seconds=10)
    assert max(simulation.sent.values()) <= 2.5 * min(simulation.sent.values())


def test_server_that_recovers_gets_its_calls_back_within_seconds():
    entries = new_entries(6)
    simulation = Simulation(entries, [LoadTable("a") for _ in range(4)], shed_rates={"i-0": 0.9})
    simulation.run(per_s=300, seconds=5)
    assert simulation.sent.get("i-0", 0) <= 0.08 * sum(simulation.sent.values())
    simulation.shed_rates.clear()
    simulation.run(per_s=300, seconds=5)
    simulation.reset()
    simulation.run(per_s=300, seconds=5)
    assert simulation.sent["i-0"] >= 0.08 * sum(simulation.sent.values())


def test_work_follows_the_speed_of_servers():
    """Guard against nearly the same work for a server of half and one and a half times the speed.

    At 0.6 of the capacity, and without a herd onto the fastest server.
    """
    entries = new_entries(6)
    speeds = {"i-0": 0.5, "i-1": 0.5, "i-2": 1.0, "i-3": 1.0, "i-4": 1.5, "i-5": 1.5}
    simulation = Simulation(entries, [LoadTable("a") for _ in range(6)], speeds=speeds)
    simulation.run(per_s=0.6 * 10 * sum(speeds.values()) / WORK_MS * 1000, seconds=10)
    slow, fast = simulation.ran["i-0"], simulation.ran["i-4"]
    assert 2.0 * slow <= fast <= 6.0 * slow
    assert simulation.success() >= 0.99


@pytest.mark.parametrize(
    ("local", "per_s", "body_bytes", "least", "most"),
    [
        # Half of the capacity of the own servers: nothing leaves.
        (4, 500, 0, 0.0, 0.03),
        # Twice their capacity: what they cannot run leaves.
        (2, 1_000, 0, 0.4, 0.75),
        # The same with bodies of 256 KB, which leave later and never without need.
        (2, 1_000, 256 << 10, 0.3, 0.7),
        (0, 200, 256 << 10, 1.0, 1.0),
    ],
)
def test_calls_leave_a_data_centre_as_far_as_its_servers_are_too_few(
    local, per_s, body_bytes, least, most
):
    """Guard against calls that leave without need, and against a queue beside idle servers."""
    entries = new_entries(local) + new_entries(8, "b", first=100)
    simulation = Simulation(entries, [LoadTable("a") for _ in range(4)])
    simulation.run(per_s, 10, body_bytes)
    left = sum(count for name, count in simulation.sent.items() if int(name[2:]) >= 100)
    assert least <= left / sum(simulation.sent.values()) <= most
    if local != 2:
        assert simulation.success() >= 0.99


def test_all_data_centres_full_at_once_keep_their_calls():
    """Guard against calls that change the data centre while no delay is saved."""
    entries = new_entries(3) + new_entries(3, "b", first=100)
    simulation = Simulation(entries, [LoadTable("a"), LoadTable("b")])
    simulation.run(per_s=6 * 240, seconds=5)
    simulation.reset()
    simulation.run(per_s=6 * 240, seconds=5)
    assert simulation.left <= 0.15 * simulation.calls
