"""Decoding of the entries that backend servers write to the platform's store."""

from typing import Any

import msgspec
from basilhill.backends import BackendEntry
from expression import Error, Ok, Result

MS_PER_S = 1000
READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)
# Entries of servers take about 200 bytes. Decoded values take up to fifty times their encoded size.
MAX_ENTRY_BYTES = 64 << 10


def decode_entry(server_id: str, data: bytes, now_ms: int) -> Result[BackendEntry, str]:
    """Return the entry of a server, or why it is invalid; any client of the store can write it."""
    if len(data) > MAX_ENTRY_BYTES:
        return Error(f"the entry of {server_id} has {len(data)} bytes")
    try:
        return Ok(read_entry(server_id, msgspec.json.decode(data), now_ms))
    except (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError) as error:
        return Error(f"the entry of {server_id} cannot be read: {error!r}")


def read_entry(server_id: str, table: dict[str, Any], now_ms: int) -> BackendEntry:
    state, cold_s = table["state"], table["coldRemainingS"]
    if state not in STATES:
        raise ValueError(f"state is {state!r}, expected one of {STATES}")
    address = required_text(table, "address")
    if not address.rpartition(":")[2].isdigit():
        raise ValueError(f"address is {address!r}, expected HOST:PORT")
    started_ms = table.get("born", 0)
    if type(started_ms) is not int:
        raise ValueError(f"born is {started_ms!r}, expected an integer")
    slots = table["slots"]
    if type(slots) is not int or slots < 1:
        raise ValueError(f"slots is {slots!r}, expected an integer of at least 1")
    return BackendEntry(
        server_id=server_id,
        service=required_text(table, "service"),
        address=address,
        data_centre=required_text(table, "zone"),
        slots=slots,
        draining=state == DRAINING,
        warm_until_ms=now_ms + int(cold_s * MS_PER_S) if cold_s > 0 else 0,
        started_ms=started_ms,
    )


def required_text(table: dict[str, Any], name: str) -> str:
    """Return a string; raise KeyError if it is missing, ValueError if it is empty."""
    value = table[name]
    if type(value) is not str or not value:
        raise ValueError(f"{name} is {value!r}, expected a non-empty string")
    return value
