"""Conversion of records to HTTP headers and back."""

import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Iterable, Mapping

from attrs import evolve
from basilhill.calls import CallMetadata, ParentReference
from basilhill.outcomes import ExecutionStatus, Header, Reason, Refusal, may_have_run, not_run
from basilhill.tokens import IdempotencyToken
from expression import Error, Ok, Result
from multidict import MultiDict

TOKEN = "basilhill-token"
ATTEMPT = "basilhill-attempt"
TIMEOUT = "basilhill-timeout-ms"
CUSTOMER = "basilhill-customer"
CONTEXT = "basilhill-context"
CALL_NUMBER = "basilhill-call-number"
VERDICT = "basilhill-verdict"
REASON = "basilhill-reason"
ACTION = "basilhill-action"
RETRIES = "basilhill-retries"

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Control characters could end a header early at the backend server. Surrogates represent bytes that
# are not UTF-8, which protobuf strings cannot contain.
UNSAFE_VALUE = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")
TOKEN_MAX_CHARS = 300
REFERENCE_MAX_CHARS = 300
MAX_NUMBER = 10_000_000
# Shared because creating a result takes microseconds and most calls lack most of the headers.
ABSENT: Result[None, Refusal] = Ok(None)

# Hop-by-hop headers, which RFC 9110 forbids to forward, and headers that the HTTP libraries set.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_headers(headers: Mapping[str, str]) -> tuple[Header, ...]:
    """Return the headers that a node forwards."""
    return tuple(
        Header(name, value)
        for name, value in headers.items()
        if name.lower() not in CONNECTION_HEADERS and not name.lower().startswith("basilhill-")
    )


def answer_headers(raw: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Return the headers of a response that a node forwards, duplicates included."""
    return forwarded_headers(
        MultiDict((decode_header_text(name), decode_header_text(value)) for name, value in raw)
    )


def decode_header_text(raw: bytes) -> str:
    """Return a header name or value as text; bytes that are not UTF-8 are decoded as Latin-1."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


def format_token(token: IdempotencyToken) -> str:
    """Return a token as header text."""
    fields = f"{token.node}/{token.incarnation}/{token.sequence}/{token.issued_ms}"
    return urlsafe_b64encode(fields.encode() + b"/" + token.signature.hex().encode()).decode()


def parse_token(text: str) -> Result[IdempotencyToken, Refusal]:
    """Return the token in a header text, or the refusal of a malformed one."""
    try:
        if len(text) > TOKEN_MAX_CHARS:
            raise ValueError
        fields = urlsafe_b64decode(text.encode()).decode()
        node, incarnation, sequence, issued_ms, signature = fields.split("/")
        host, port = node.rsplit(":", 1)
        if not host or not 0 < int(port) < 65_536:
            raise ValueError
        return Ok(
            IdempotencyToken(
                node, incarnation, int(sequence), int(issued_ms), bytes.fromhex(signature)
            )
        )
    except ValueError:
        return Error(not_run(Reason.MALFORMED, f"{TOKEN} is not a token"))


def format_reference(reference: ParentReference) -> str:
    """Return a parent reference as header text."""
    return f"{reference.node}/{reference.incarnation}/{reference.parent_call}"


def parse_reference(text: str) -> Result[ParentReference, Refusal]:
    """Return the parent reference in a header text, or the refusal of a malformed one."""
    parts = text.split("/")
    if len(text) > REFERENCE_MAX_CHARS or len(parts) != 3 or not all(parts):
        return Error(not_run(Reason.MALFORMED, f"{CONTEXT} is not a context"))
    return Ok(ParentReference(*parts))


def parse_number(headers: Mapping[str, str], name: str) -> Result[int | None, Refusal]:
    """Return the number in a header, None without the header, or a refusal if it is malformed."""
    text = headers.get(name)
    if text is None:
        return ABSENT
    if not (text.isascii() and text.isdigit() and len(text) <= 9) or int(text) > MAX_NUMBER:
        return Error(not_run(Reason.MALFORMED, f"{name} is not a number up to {MAX_NUMBER}"))
    return Ok(int(text))


def parse_call_metadata(headers: Mapping[str, str], peer: str) -> Result[CallMetadata, Refusal]:
    """Return token, attempt, timeout, parent and customer of a call from its headers."""
    for name, value in headers.items():
        if not HEADER_NAME.fullmatch(name) or UNSAFE_VALUE.search(value):
            text = "a header is malformed or not UTF-8"
            # Another attempt with the token may run although this one is malformed.
            refuse = may_have_run if TOKEN in headers else not_run
            return Error(refuse(Reason.MALFORMED, text))
    numbers = [parse_number(headers, name) for name in (ATTEMPT, TIMEOUT, CALL_NUMBER)]
    token_header, context_header = headers.get(TOKEN), headers.get(CONTEXT)
    token = parse_token(token_header) if token_header is not None else ABSENT
    parent = parse_reference(context_header) if context_header is not None else ABSENT
    for parsed in (token, *numbers, parent):
        if parsed.is_error():
            # Another attempt with the token may run although this one is malformed.
            execution_status = (
                ExecutionStatus.MAY_HAVE_RUN
                if token.is_ok() and token.ok
                else ExecutionStatus.NOT_RUN
            )
            return Error(evolve(parsed.error, execution_status=execution_status))
    attempt, timeout_ms, call_number = (parsed.ok for parsed in numbers)
    customer = headers.get(CUSTOMER, peer)[:128]
    return Ok(
        CallMetadata(
            customer,
            token.ok,
            attempt or 0,
            timeout_ms,
            parent.ok,
            call_number,
            named_customer=CUSTOMER in headers,
        )
    )
