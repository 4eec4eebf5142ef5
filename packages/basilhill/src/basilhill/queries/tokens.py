"""Build and verify idempotency tokens."""

import hmac

from basilhill.tokens import IdempotencyToken, TokenIssuer, TokenStatus

SIGNATURE_BYTES = 16


def current_token(issuer: TokenIssuer, now_ms: int) -> IdempotencyToken:
    """Return the token for the current sequence number of an issuer."""
    signature = token_signature(issuer, issuer.sequence, now_ms)
    return IdempotencyToken(issuer.node, issuer.incarnation, issuer.sequence, now_ms, signature)


def token_status(issuer: TokenIssuer, token: IdempotencyToken, now_ms: int) -> TokenStatus:
    """Return whether this node may use a token, or the reason why not."""
    if token.node != issuer.node:
        return TokenStatus.OTHER_COORDINATOR
    if token.incarnation != issuer.incarnation:
        return TokenStatus.ENDED_INCARNATION
    expected = token_signature(issuer, token.sequence, token.issued_ms)
    if not hmac.compare_digest(expected, token.signature):
        return TokenStatus.INVALID
    if now_ms >= token.issued_ms + issuer.lifetime_ms:
        return TokenStatus.EXPIRED
    return TokenStatus.VALID


def token_signature(issuer: TokenIssuer, sequence: int, issued_ms: int) -> bytes:
    """Return the signature over the fields of a token."""
    message = f"{issuer.node}/{issuer.incarnation}/{sequence}/{issued_ms}".encode()
    return hmac.digest(issuer.secret, message, "sha256")[:SIGNATURE_BYTES]
