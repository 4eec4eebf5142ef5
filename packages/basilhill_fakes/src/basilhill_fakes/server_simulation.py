"""One server under simulated load, with sources that learn its level late."""

from random import Random

from attrs import define, field
from basilhill.admission import AdmissionState
from basilhill.calls import CallContext, PriorityClass
from basilhill.commands.admission import (
    adjust_level,
    admit_call,
    drop_queued,
    free_slot,
    record_times,
    start_queued,
)
from basilhill.commands.limits import adjust_limit
from basilhill.queries.admission import next_queued, wait_limit_ms
from basilhill.queries.cohorts import cohort_of

SOURCE_DELAY_MS = 200


@define
class Traffic:
    """Describe one kind of call: rate per second, class, depth and normal service time."""

    call: str
    rate: float
    priority_class: PriorityClass
    service_ms: int
    depth: int = 1


@define
class Tally:
    """Hold what came of one call."""

    sent_ms: int
    traffic: Traffic
    outcome: str = "waiting"
    ended_ms: int = 0


@define
class Simulation:
    """Run one admission controller millisecond by millisecond."""

    state: AdmissionState
    random: Random
    now_ms: int = 0
    slow: float = 1.0
    tallies: dict[str, Tally] = field(factory=dict)
    contexts: dict[str, CallContext] = field(factory=dict)
    ends: dict[int, list] = field(factory=dict)
    levels: list[int] = field(factory=list)
    capacity: int = 1_000_000

    def run(self, duration_ms: int, traffic: list[Traffic]) -> None:
        """Let time pass under some traffic."""
        for _ in range(duration_ms):
            self.now_ms += 1
            for call_id, started_ms, own_ms in self.ends.pop(self.now_ms, ()):
                self.end(call_id, started_ms, own_ms)
            for kind in traffic:
                if self.random.random() < kind.rate / 1000:
                    self.arrive(kind)
            self.drop_expired()
            if self.now_ms % 100 == 0:
                adjust_level(self.state, self.now_ms)
                adjust_limit(self.state, self.now_ms)
            self.levels.append(self.state.level)

    def arrive(self, kind: Traffic) -> None:
        """Send one call unless the source refuses it."""
        call_id = f"{len(self.tallies)}"
        tally = self.tallies[call_id] = Tally(self.now_ms, kind)
        action_id = str(self.random.random())
        context = CallContext(
            action_id,
            "",
            kind.priority_class,
            self.now_ms + 3000,
            depth=kind.depth,
            cohort=cohort_of(action_id),
        )
        self.contexts[call_id] = context
        source_level = self.levels[-SOURCE_DELAY_MS] if len(self.levels) > SOURCE_DELAY_MS else 0
        if context.priority < source_level:
            tally.outcome = "source"
            return
        admitted = admit_call(self.state, call_id, kind.call, context, self.now_ms)
        if admitted.is_error():
            tally.outcome = "refused"
            return
        if admitted.ok.dropped:
            self.tallies[admitted.ok.dropped].outcome = "refused"
        if admitted.ok.started:
            self.start(call_id)

    def start(self, call_id: str) -> None:
        """Run a call; more calls than the capacity slow each other down."""
        crowding = max(1.0, self.state.in_flight / self.capacity)
        own_ms = int(self.tallies[call_id].traffic.service_ms * self.slow * crowding)
        self.ends.setdefault(self.now_ms + own_ms, []).append((call_id, self.now_ms, own_ms))

    def end(self, call_id: str, started_ms: int, own_ms: int) -> None:
        """End a call and start the next one."""
        tally = self.tallies[call_id]
        tally.outcome, tally.ended_ms = "done", self.now_ms
        free_slot(self.state, self.now_ms)
        record_times(self.state, tally.traffic.call, self.now_ms - started_ms, own_ms, self.now_ms)
        self.start_next()

    def start_next(self) -> None:
        """Give free slots to waiting calls."""
        while (queued := next_queued(self.state)) is not None:
            start_queued(self.state, queued, self.now_ms)
            self.start(queued.call_id)

    def drop_expired(self) -> None:
        """Refuse the calls that waited too long."""
        for queued in list(self.state.queue):
            limit_ms = wait_limit_ms(self.state, queued.context)
            if self.now_ms - queued.enqueued_ms >= limit_ms:
                drop_queued(self.state, queued.call_id, self.now_ms)
                self.tallies[queued.call_id].outcome = "refused"

    def count(self, outcome: str, call: str, from_ms: int, to_ms: int) -> int:
        """Count the calls that ended with an outcome, by end for done ones, else by arrival."""
        return sum(
            tally.outcome == outcome
            and tally.traffic.call == call
            and from_ms <= (tally.ended_ms or tally.sent_ms) < to_ms
            for tally in self.tallies.values()
        )

    def share_served(self, call: str, from_ms: int) -> float:
        """Return the share of the calls sent since a time that ended well or still run."""
        outcomes = [
            tally.outcome
            for tally in self.tallies.values()
            if tally.traffic.call == call and tally.sent_ms >= from_ms
        ]
        return sum(outcome in ("done", "waiting") for outcome in outcomes) / len(outcomes)


def new_simulation(slots: int, seed: int = 1) -> Simulation:
    """Return a server that has just started."""
    return Simulation(AdmissionState(slots, 200, 200, float(slots)), Random(seed))
