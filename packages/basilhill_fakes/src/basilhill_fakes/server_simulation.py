"""Simulation of a server under load whose admission level reaches origin nodes with a delay."""

from random import Random

from attrs import define, field
from basilhill.admission import AdmissionState
from basilhill.calls import CallContext, PriorityClass
from basilhill.commands.admission import (
    adjust_cohort_level,
    admit_call,
    drop_queued,
    free_slot,
    record_times,
    start_queued,
)
from basilhill.commands.limits import adjust_limit
from basilhill.queries.admission import next_queued, wait_limit_ms
from basilhill.queries.cohorts import cohort_of

ORIGIN_DELAY_MS = 200


@define
class Traffic:
    """Kind of call: rate per second, priority class, call depth and normal service time in ms."""

    call: str
    rate: float
    priority_class: PriorityClass
    service_ms: int
    depth: int = 1


@define
class CallRecord:
    """Outcome and times of one simulated call."""

    sent_ms: int
    traffic: Traffic
    outcome: str = "waiting"
    ended_ms: int = 0


@define
class Simulation:
    """Simulation of one admission controller in steps of 1 ms."""

    state: AdmissionState
    random: Random
    now_ms: int = 0
    slow_factor: float = 1.0
    records: dict[str, CallRecord] = field(factory=dict)
    contexts: dict[str, CallContext] = field(factory=dict)
    ends: dict[int, list] = field(factory=dict)
    levels: list[int] = field(factory=list)
    capacity: int = 1_000_000

    def run(self, duration_ms: int, traffic: list[Traffic]) -> None:
        """Advance the simulated time under some traffic."""
        for _ in range(duration_ms):
            self.now_ms += 1
            for call_id, started_ms, processing_ms in self.ends.pop(self.now_ms, ()):
                self.end(call_id, started_ms, processing_ms)
            for traffic_kind in traffic:
                if self.random.random() < traffic_kind.rate / 1000:
                    self.arrive(traffic_kind)
            self.drop_expired()
            if self.now_ms % 100 == 0:
                adjust_cohort_level(self.state, self.now_ms)
                adjust_limit(self.state, self.now_ms)
            self.levels.append(self.state.level)

    def arrive(self, traffic_kind: Traffic) -> None:
        """Send one call unless its origin node refuses it because of the delayed level."""
        call_id = f"{len(self.records)}"
        record = self.records[call_id] = CallRecord(self.now_ms, traffic_kind)
        action_id = str(self.random.random())
        context = CallContext(
            action_id,
            "",
            traffic_kind.priority_class,
            self.now_ms + 3000,
            depth=traffic_kind.depth,
            cohort=cohort_of(action_id),
        )
        self.contexts[call_id] = context
        origin_level = self.levels[-ORIGIN_DELAY_MS] if len(self.levels) > ORIGIN_DELAY_MS else 0
        if context.priority < origin_level:
            record.outcome = "origin"
            return
        admitted = admit_call(self.state, call_id, traffic_kind.call, context, self.now_ms)
        if admitted.is_error():
            record.outcome = "refused"
            return
        if admitted.ok.dropped:
            self.records[admitted.ok.dropped].outcome = "refused"
        if admitted.ok.started:
            self.start(call_id)

    def start(self, call_id: str) -> None:
        """Run a call; calls beyond the capacity slow down new ones."""
        contention = max(1.0, self.state.in_flight / self.capacity)
        processing_ms = int(
            self.records[call_id].traffic.service_ms * self.slow_factor * contention
        )
        self.ends.setdefault(self.now_ms + processing_ms, []).append(
            (call_id, self.now_ms, processing_ms)
        )

    def end(self, call_id: str, started_ms: int, processing_ms: int) -> None:
        record = self.records[call_id]
        record.outcome, record.ended_ms = "done", self.now_ms
        free_slot(self.state, self.now_ms)
        record_times(
            self.state, record.traffic.call, self.now_ms - started_ms, processing_ms, self.now_ms
        )
        self.start_next()

    def start_next(self) -> None:
        """Start queued calls in free slots."""
        while (queued := next_queued(self.state)) is not None:
            start_queued(self.state, queued, self.now_ms)
            self.start(queued.call_id)

    def drop_expired(self) -> None:
        """Refuse the queued calls that exceeded their wait limit."""
        for queued in list(self.state.queue):
            limit_ms = wait_limit_ms(self.state, queued.context)
            if self.now_ms - queued.enqueued_ms >= limit_ms:
                drop_queued(self.state, queued.call_id, self.now_ms)
                self.records[queued.call_id].outcome = "refused"

    def count_outcomes(self, outcome: str, call: str, from_ms: int, to_ms: int) -> int:
        """Count the calls with an outcome in a span, by end time if done, else by send time."""
        return sum(
            record.outcome == outcome
            and record.traffic.call == call
            and from_ms <= (record.ended_ms or record.sent_ms) < to_ms
            for record in self.records.values()
        )

    def served_share(self, call: str, from_ms: int) -> float:
        """Return the share of the calls sent since a time that completed or are still pending."""
        outcomes = [
            record.outcome
            for record in self.records.values()
            if record.traffic.call == call and record.sent_ms >= from_ms
        ]
        return sum(outcome in ("done", "waiting") for outcome in outcomes) / len(outcomes)


def new_simulation(slots: int, seed: int = 1) -> Simulation:
    return Simulation(AdmissionState(slots, 200, 200, float(slots)), Random(seed))
