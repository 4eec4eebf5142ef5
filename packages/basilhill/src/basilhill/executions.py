"""Execution records of non-idempotent calls, kept by coordinators and executors."""

from enum import Enum

from attrs import define, field

from basilhill.outcomes import Outcome


class ExecutionState(Enum):
    """State of a non-idempotent call."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNCERTAIN = "uncertain"
    REJECTED = "rejected"


OPEN_STATES = frozenset({ExecutionState.WAITING, ExecutionState.RUNNING})


@define
class ExecutionRecord:
    """State and outcome of one execution key."""

    key: str
    state: ExecutionState
    expires_ms: int
    digest: bytes = b""
    outcome: Outcome | None = None
    retries_spent: int = 0


@define
class ExecutionTable:
    """Records of one node, oldest first, limited in number and in bytes of responses."""

    capacity: int
    answer_bytes_limit: int
    lifetime_ms: int
    records: dict[str, ExecutionRecord] = field(factory=dict)
    answers: dict[str, int] = field(factory=dict)
    answer_bytes: int = 0
