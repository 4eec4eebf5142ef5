"""Decoding of the operators' configuration in the platform's store."""

from typing import Any

import msgspec
from basilhill.configuration import (
    Configuration,
    RequestLimits,
    Route,
    WeightedService,
)
from basilhill.queries.configuration import order_routes
from expression import Error, Ok, Result

MS_PER_S = 1000
IDEMPOTENT = "idempotent"
DECODE_ERRORS = (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError)


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Return a configuration from the platform's JSON, or why it is invalid."""
    try:
        return Ok(read_configuration(msgspec.json.decode(data)))
    except DECODE_ERRORS as error:
        return Error(f"the configuration cannot be read: {error!r}")


def read_configuration(table: dict[str, Any]) -> Configuration:
    routes = [
        read_route(host["host"], path) for host in table["virtualHosts"] for path in host["paths"]
    ]
    limits = table["limits"]
    return Configuration(
        # The version is a string of eight hexadecimal digits.
        version=int(table["version"], 16),
        routes=order_routes(routes),
        limits=RequestLimits(
            header_bytes=int(limits["maxHeaderBytes"]),
            body_bytes=int(limits["maxBodyBytes"]),
            header_ms=int(limits["headerTimeoutS"] * MS_PER_S),
            idle_ms=int(limits["idleTimeoutS"] * MS_PER_S),
        ),
    )


def read_route(host: str, path: dict[str, Any]) -> Route:
    """Return a route from an entry of `paths`, which is a path prefix with its policy."""
    split = path.get("trafficSplit") or [{"service": path["service"], "weight": 1}]
    return Route(
        name=path["name"],
        host=host,
        prefix=path["prefix"],
        idempotent=path["kind"] == IDEMPOTENT,
        # `attempts` counts the servers that one request may reach, including the first one.
        attempts=int(path.get("attempts", 1)),
        timeout_ms=int(path["timeoutS"] * MS_PER_S),
        target_ms=int(path["targetLatencyS"] * MS_PER_S),
        # Priority 0 is the highest.
        priority=int(path["priority"]),
        services=tuple(
            WeightedService(part["service"], float(part["weight"]))
            for part in split
            if part["weight"] > 0
        ),
    )
