"""Identify poison requests: requests that may crash the backend server."""

from collections.abc import Iterable
from hashlib import blake2b

from basilhill.calls import CallRequest
from basilhill.poison_requests import PoisonRequestTable, PoisonStatus

# A request that ran during two crashes is considered their cause.
MIN_CRASHES_TO_REFUSE = 2


def fingerprint_of(request: CallRequest, header_names: Iterable[str]) -> str:
    """Return the hash of a request, including the headers that the settings list."""
    names = frozenset(header_names)
    digest = blake2b(digest_size=16)
    parts = [request.service, request.method, request.path]
    parts.extend(
        f"{header.name.lower()}:{header.value}"
        for header in request.headers
        if header.name.lower() in names
    )
    for part in (*(part.encode() for part in parts), request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def poison_status(table: PoisonRequestTable, fingerprint: str, now_ms: int) -> PoisonStatus:
    """Classify a request by the crashes recorded for its fingerprint."""
    record = table.records.get(fingerprint)
    if record is None or now_ms >= record.expires_ms:
        return PoisonStatus.NONE
    crashes = len(record.crashes - record.cleared)
    if crashes == 0:
        return PoisonStatus.NONE
    return PoisonStatus.REFUSED if crashes >= MIN_CRASHES_TO_REFUSE else PoisonStatus.SUSPECT


def choose_quarantine_server(
    table: PoisonRequestTable, fingerprint: str, servers: Iterable[str]
) -> str | None:
    """Return the server that may run a suspected poison request, None without servers.

    All nodes choose the same server from the same list, so that repeated attempts do not run on
    several servers simultaneously. A server that crashed is chosen only if there is no other.
    """
    crashed = {crash.rsplit("/", 1)[0] for crash in table.records[fingerprint].crashes}
    ranked = sorted(
        servers, key=lambda server: (server in crashed, rendezvous_hash(fingerprint, server))
    )
    return ranked[0] if ranked else None


def rendezvous_hash(fingerprint: str, server: str) -> bytes:
    """Return the rendezvous hash of a server for a fingerprint."""
    return blake2b(f"{fingerprint}/{server}".encode(), digest_size=8).digest()
