"""Update the state of a token issuer."""

from basilhill.tokens import TokenIssuer


def advance_sequence(issuer: TokenIssuer) -> None:
    issuer.sequence += 1
