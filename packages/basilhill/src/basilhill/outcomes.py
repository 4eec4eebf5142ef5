"""Outcomes of requests: execution status, responses and refusals."""

from enum import Enum

from attrs import field, frozen
from expression import Error, Ok, Result

# Status codes of interim and final responses; all others are invalid (RFC 9110, section 15).
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)


class ExecutionStatus(Enum):
    """Execution status: whether a request was answered, did not run or may have run."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(Enum):
    """Cause of a refusal."""

    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    COORDINATOR_GONE = "coordinator-gone"
    CUSTOMER_LIMIT = "customer-limit"
    DEADLINE = "deadline"
    INTERNAL = "internal"
    LEAVING = "leaving"
    MALFORMED = "malformed"
    MISDIRECTED = "misdirected"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    PARENT_GONE = "parent-gone"
    QUOTA_EXCEEDED = "quota-exceeded"
    REJECTED = "rejected"
    SERVER_REFUSED = "server-refused"
    SUSPECT = "suspect"
    TABLE_FULL = "table-full"
    TOKEN_EXPIRED = "token-expired"
    TOKEN_INVALID = "token-invalid"
    TOKEN_REQUIRED = "token-required"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    TRUNCATED = "truncated"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_CALL = "unknown-call"
    UNREACHABLE = "unreachable"


@frozen
class Header:
    """Header of a request or a response."""

    name: str
    value: str


@frozen
class Answer:
    """Complete response of a backend server."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@frozen
class Refusal:
    """Reason why a request got no response, and whether it may have run."""

    execution_status: ExecutionStatus
    reason: Reason
    text: str
    retry_after_ms: int = 0


Outcome = Result[Answer, Refusal]


@frozen
class ServiceLevel:
    """Admission level of a service."""

    service: str
    level: int


@frozen
class CallReply:
    """Outcome sent between nodes, with the retries spent and the levels known on the call path."""

    outcome: Outcome
    retries_spent: int = 0
    levels: tuple[ServiceLevel, ...] = field(default=())


def not_run(reason: Reason, text: str, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal of a request that has not run and will not run."""
    return Refusal(ExecutionStatus.NOT_RUN, reason, text, retry_after_ms)


def may_have_run(reason: Reason, text: str) -> Refusal:
    return Refusal(ExecutionStatus.MAY_HAVE_RUN, reason, text)


def received_outcome(answer: Answer) -> Outcome:
    """Return a received answer, or a refusal if its status is not that of a final response."""
    if answer.status in FINAL_STATUSES:
        return Ok(answer)
    text = f"the backend server sent the invalid status {answer.status:03}"
    return Error(may_have_run(Reason.CONNECTION_LOST, text))


def execution_status_of(outcome: Outcome) -> ExecutionStatus:
    return ExecutionStatus.ANSWERED if outcome.is_ok() else outcome.error.execution_status
