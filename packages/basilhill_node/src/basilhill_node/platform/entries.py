"""Decoding of the entries that backend servers write to the platform's store."""

import re
from typing import Any

import msgspec
from basilhill.backends import BackendEntry
from expression import Error, Result

from basilhill_node.platform.input import (
    MAX_NUMBER,
    MAX_TIMESTAMP_MS,
    decode_input,
    required_integer,
    required_number,
    required_text,
)

MS_PER_S = 1000
READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)
ADDRESS = re.compile(r"[\w.:\[\]-]{1,255}:[0-9]{1,5}", re.ASCII)
# Entries of servers take about 200 bytes. Decoded values take up to fifty times their encoded size.
MAX_ENTRY_BYTES = 64 << 10


def decode_entry(server_id: str, data: bytes, now_ms: int) -> Result[BackendEntry, str]:
    """Return the entry of a server, or why it is invalid; any client of the store can write it."""
    if len(data) > MAX_ENTRY_BYTES:
        return Error(f"the entry of {server_id} has {len(data)} bytes")
    return decode_input(
        f"the entry of {server_id}",
        lambda: read_entry(server_id, msgspec.json.decode(data), now_ms),
    )


def read_entry(server_id: str, table: dict[str, Any], now_ms: int) -> BackendEntry:
    state = table["state"]
    if state not in STATES:
        raise ValueError(f"state is {state!r}, expected one of {STATES}")
    address = required_text(table, "address")
    if not ADDRESS.fullmatch(address):
        raise ValueError(f"address is {address!r}, expected HOST:PORT")
    started_ms = table.get("born", 0)
    if type(started_ms) is not int or not 0 <= started_ms <= MAX_TIMESTAMP_MS:
        raise ValueError(f"born is {started_ms!r}, expected milliseconds as an integer")
    cold_s = required_number(table, "coldRemainingS", -MAX_NUMBER)
    # Every server writes these two; an entry without them is of another writer.
    required_text(table, "version")
    required_integer(table, "sequence")
    return BackendEntry(
        server_id=server_id,
        service=required_text(table, "service"),
        address=address,
        data_centre=required_text(table, "zone"),
        slots=required_integer(table, "slots", 1),
        draining=state == DRAINING,
        warm_until_ms=now_ms + int(cold_s * MS_PER_S) if cold_s > 0 else 0,
        started_ms=started_ms,
    )
