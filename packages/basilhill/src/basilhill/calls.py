"""Calls, their context and their priority."""

from enum import IntEnum

from attrs import field, frozen

from basilhill.outcomes import Header
from basilhill.tokens import IdempotencyToken

COHORTS = 128


class PriorityClass(IntEnum):
    """Priority class of a customer action; overload refuses the lowest class first."""

    BROWSE = 0
    STANDARD = 1
    TRANSACTION = 2


MAX_PRIORITY = len(PriorityClass) * COHORTS - 1


@frozen
class CallRequest:
    """Request to a backend server."""

    service: str
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@frozen
class ParentReference:
    """Reference to the running call in which a backend server makes an internal call."""

    node: str
    incarnation: str
    parent_call: str


@frozen
class CallMetadata:
    """Metadata that a caller sent with a request."""

    customer: str
    token: IdempotencyToken | None = None
    attempt: int = 0
    timeout_ms: int | None = None
    parent: ParentReference | None = None
    call_number: int | None = None
    # Whether a header named the customer; otherwise `customer` is the address of the caller.
    named_customer: bool = False


@frozen
class CallContext:
    """Customer action that a call belongs to, passed on from hop to hop.

    The cohort is the same at every hop, so that all hops refuse the same actions.
    """

    action_id: str
    action: str
    priority_class: PriorityClass
    deadline_ms: int = field(metadata={"unit": "ms on the clock of this process"})
    customer: str = ""
    depth: int = 0
    retry_allotment: int = 0
    cohort: int = field(kw_only=True)

    @property
    def priority(self) -> int:
        """Return the priority that is compared with admission levels."""
        return self.priority_class * COHORTS + self.cohort
