"""Idempotency tokens."""

from enum import Enum

from attrs import define, frozen


@frozen
class IdempotencyToken:
    """Token for one run of a non-idempotent call, coordinated by the node that issued it."""

    node: str
    incarnation: str
    sequence: int
    issued_ms: int
    signature: bytes

    @property
    def key(self) -> str:
        """Return the execution key that all attempts of the call share."""
        return f"{self.node}/{self.incarnation}/{self.sequence}"


class TokenStatus(Enum):
    """Result of the verification of a token."""

    VALID = "valid"
    EXPIRED = "expired"
    INVALID = "invalid"
    OTHER_COORDINATOR = "other-coordinator"
    ENDED_INCARNATION = "ended-incarnation"


@define
class TokenIssuer:
    """State with which a node issues and verifies its own tokens."""

    node: str
    incarnation: str
    secret: bytes
    lifetime_ms: int
    sequence: int = 0
