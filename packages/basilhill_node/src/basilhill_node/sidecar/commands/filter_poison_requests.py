"""Detection and refusal of poison requests, which crash the backend servers that run them."""

from collections.abc import Callable

from attrs import define, field
from basilhill.calls import CallRequest
from basilhill.clocks import Clock
from basilhill.commands.poison_requests import apply_crash_report
from basilhill.outcomes import Outcome, Reason, Refusal, not_run
from basilhill.poison_requests import CrashReport, PoisonRequestTable, PoisonStatus
from basilhill.queries.poison_requests import fingerprint_of, poison_status

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.http_client import ConnectionFailedError, ConnectionPool

# A crash breaks the connections of all calls in flight within this time, so connections lost within
# it count as one crash.
SAME_CRASH_WINDOW_MS = 200
RETRY_AFTER_MS = 1_000


@define(eq=False)
class PoisonRequestFilter:
    """Filter that refuses requests which were running during several crashes."""

    poison_requests: PoisonRequestTable
    pool: ConnectionPool
    clock: Clock
    log: EventLog
    publish: Callable[[CrashReport], None] = field(default=lambda _report: None)
    crashes: int = 0
    last_crash_ms: int = 0

    def refusal(self, call: Execute) -> Refusal | None:
        """Return the refusal of a poison request, None for any other request."""
        if not self.poison_requests.records:
            return None
        now_ms = self.clock.now_ms()
        if (
            poison_status(self.poison_requests, fingerprint(call), now_ms)
            is not PoisonStatus.REFUSED
        ):
            return None
        text = "backend servers crashed while this request ran"
        return not_run(Reason.SUSPECT, text, RETRY_AFTER_MS)

    async def record_outcome(self, call: Execute, outcome: Outcome) -> None:
        """Record whether the backend server crashed while the request ran."""
        if outcome.is_ok():
            self.record_clean_run(call)
        elif outcome.error.reason is Reason.CONNECTION_LOST and await self.is_server_down():
            self.record_crash(call)

    async def is_server_down(self) -> bool:
        """Return whether the server accepts no connection; one lost connection is not a crash."""
        try:
            self.pool.release(await self.pool.connect())
        except ConnectionFailedError:
            return True
        return False

    def record_crash(self, call: Execute) -> None:
        """Record that the server crashed while the request ran, and notify peers."""
        now_ms = self.clock.now_ms()
        if self.crashes == 0 or now_ms - self.last_crash_ms > SAME_CRASH_WINDOW_MS:
            self.crashes += 1
            self.last_crash_ms = now_ms
        crash = f"{call.server_id}/{self.crashes}"
        report = CrashReport(fingerprint(call), frozenset({crash}))
        if apply_crash_report(self.poison_requests, report, now_ms):
            self.log.record(
                "suspect", "ran during a crash", call.request_id, fingerprint=report.fingerprint
            )
            self.publish(report)

    def record_clean_run(self, call: Execute) -> None:
        """Clear the recorded crashes of a request that has now run without one."""
        if not self.poison_requests.records:
            return
        record = self.poison_requests.records.get(fingerprint(call))
        if record is None or not record.crashes - record.cleared:
            return
        report = CrashReport(record.fingerprint, record.crashes, cleared=True)
        apply_crash_report(self.poison_requests, report, self.clock.now_ms())
        self.publish(report)


def fingerprint(call: Execute) -> str:
    """Return the hash that identifies repeated attempts of a request, which have different ids."""
    request = CallRequest(call.caller_service, call.method, call.target, (), call.body)
    return fingerprint_of(request, ())
