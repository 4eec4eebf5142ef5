"""Decoding of the operators' configuration in the platform's store."""

import re
from typing import Any

import msgspec
from basilhill.configuration import (
    Configuration,
    RequestLimits,
    Route,
    WeightedService,
)
from basilhill.queries.configuration import order_routes
from expression import Result

from basilhill_node.platform.input import (
    decode_input,
    required_integer,
    required_number,
    required_text,
)
from basilhill_node.platform.workspaces import read_workspaces

MS_PER_S = 1000
# Kinds of routes, and whether their requests may run more than once.
KINDS = {"idempotent": True, "download": True, "non_idempotent": False, "upload": False}
VERSION = re.compile(r"[0-9a-fA-F]{1,8}")


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Return a configuration from the platform's JSON, or why it is invalid."""
    return decode_input("the configuration", lambda: read_configuration(msgspec.json.decode(data)))


def read_configuration(table: dict[str, Any]) -> Configuration:
    routes = [
        # Hosts are compared without regard to case (RFC 9110, section 4.2.3).
        read_route(required_text(host, "host").lower(), path)
        for host in table["virtualHosts"]
        for path in host["paths"]
    ]
    limits = table["limits"]
    version = required_text(table, "version")
    if not VERSION.fullmatch(version):
        raise ValueError(f"version is {version!r}, expected hexadecimal digits")
    return Configuration(
        version=int(version, 16),
        routes=order_routes(routes),
        limits=RequestLimits(
            header_bytes=int(required_number(limits, "maxHeaderBytes")),
            body_bytes=int(required_number(limits, "maxBodyBytes")),
            header_ms=int(required_number(limits, "headerTimeoutS") * MS_PER_S),
            idle_ms=int(required_number(limits, "idleTimeoutS") * MS_PER_S),
        ),
        workspaces=read_workspaces(table),
    )


def read_route(host: str, path: dict[str, Any]) -> Route:
    """Return a route from an entry of `paths`, which is a path prefix with its policy."""
    kind = path["kind"]
    if kind not in KINDS:
        raise ValueError(f"kind is {kind!r}, expected one of {tuple(KINDS)}")
    split = path.get("trafficSplit") or [{"service": path["service"], "weight": 1}]
    if not any(required_number(part, "weight") > 0 for part in split):
        raise ValueError(f"the weights of {path.get('name')!r} add up to nothing")
    return Route(
        name=required_text(path, "name"),
        host=host,
        prefix=required_text(path, "prefix"),
        idempotent=KINDS[kind],
        # `attempts` counts the servers that one request may reach, including the first one.
        attempts=required_integer(path, "attempts") if "attempts" in path else 1,
        timeout_ms=int(required_number(path, "timeoutS") * MS_PER_S),
        target_ms=int(required_number(path, "targetLatencyS") * MS_PER_S),
        # Priority 0 is the highest.
        priority=int(required_number(path, "priority")),
        services=tuple(
            WeightedService(required_text(part, "service"), float(required_number(part, "weight")))
            for part in split
            if part["weight"] > 0
        ),
        public=path.get("public") is True,
    )
