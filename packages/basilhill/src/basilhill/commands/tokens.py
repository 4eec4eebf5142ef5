"""Change the state of a token issuer."""

from basilhill.tokens import TokenIssuer


def advance_sequence(issuer: TokenIssuer) -> None:
    """Move to the sequence number of the next token."""
    issuer.sequence += 1
