"""Frames with which origins borrow the credit of workspaces from keepers."""

from typing import Any

from basilhill.credits import SHARES, CreditGrant, CreditRequest

from basilhill_node.sidecar.frames import FrameKind, MalformedFrameError, encode_frame

# Utilisations are encoded as integers in these steps.
UTILISATION_STEPS = 100
# Largest number of requests or ms in a frame about credit.
MAX_CREDIT = 1 << 31


def encode_credit_request(number: int, request: CreditRequest) -> bytes:
    return encode_frame(
        FrameKind.CREDIT_REQUEST,
        number,
        request.workspace,
        request.share,
        request.spent,
        request.wanted,
        request.refused,
        request.wait_limit_ms,
    )


def decode_credit_request(fields: list[Any]) -> CreditRequest:
    """Return a request for credit; raise MalformedFrameError if it is out of range."""
    workspace, *numbers = fields
    if type(workspace) is not str or not all(
        type(number) is int and 0 <= number <= MAX_CREDIT for number in numbers
    ):
        raise MalformedFrameError("request for credit is out of range")
    request = CreditRequest(workspace, *numbers)
    if request.share >= SHARES:
        raise MalformedFrameError(f"share {request.share} does not exist")
    return request


def encode_credit_grant(number: int, grant: CreditGrant | None) -> bytes:
    """Return a CREDIT_GRANT frame; without a grant the workspace is unknown to the keeper."""
    if grant is None:
        return encode_frame(FrameKind.CREDIT_GRANT, number)
    return encode_frame(
        FrameKind.CREDIT_GRANT,
        number,
        grant.lent,
        grant.wait_ms,
        grant.trusted,
        round(grant.utilisation * UTILISATION_STEPS),
    )


def decode_credit_grant(fields: list[Any]) -> CreditGrant | None:
    """Return a grant, None if the keeper does not know the workspace."""
    if not fields:
        return None
    lent, wait_ms, trusted, utilisation = fields
    if not (0 <= lent <= MAX_CREDIT and 0 <= wait_ms <= MAX_CREDIT and utilisation >= 1):
        raise MalformedFrameError("credit is out of range")
    return CreditGrant(lent, wait_ms, bool(trusted), utilisation / UTILISATION_STEPS)
