"""Settings of a node and their defaults."""

from difflib import get_close_matches
from typing import Any

import cattrs
from attrs import field, fields, frozen
from cattrs import transform_error
from cattrs.errors import ForbiddenExtraKeysError
from expression import Error, Ok, Result

DEFAULTS: dict[str, Any] = {
    "front_port": 7400,
    "peer_port": 7401,
    "administration_address": "127.0.0.1",
    "administration_port": 7402,
    "administration_token": "",
    "backend_port": 7403,
    "health_path": "/health",
    "token_lifetime_ms": 600_000,
    "execution_capacity": 200_000,
    "executor_lifetime_ms": 60_000,
    "answer_bytes_limit": 8_000_000,
    "customer_rate_per_s": 20.0,
    "customer_burst": 40,
    "customer_capacity": 10_000,
    "queue_limit": 200,
    "queue_ms": 200,
    "level_interval_ms": 100,
    "level_lifetime_ms": 1_000,
    "subset_size": 20,
    "ramp_ms": 10_000,
    "suspect_ttl_ms": 60_000,
    "fingerprint_headers": ("content-type",),
    "heartbeat_ms": 500,
    "lease_ms": 2_000,
    "pause_ms": 1_000,
    "reconnect_ms": 200,
    "idle_peer_ms": 60_000,
    "peer_outbox_limit": 1_000,
    "configuration_readers": 3,
    "tree_fanout": 8,
    "digest_ms": 1_000,
    "platform_poll_ms": 2_000,
    "seeds": (),
    "peers_first_ms": 1_500,
    "body_limit": 1_000_000,
    "request_ms": 10_000,
    "grace_ms": 50,
    "shutdown_ms": 30_000,
    "disabled_mechanisms": (),
}


@frozen
class NodeSettings:
    """Settings of one node; names ending in _ms are milliseconds."""

    address: str
    data_centre: str
    service: str
    platform_url: str
    front_port: int
    peer_port: int
    administration_address: str
    administration_port: int
    administration_token: str = field(repr=False)
    backend_port: int
    health_path: str
    token_lifetime_ms: int
    execution_capacity: int
    executor_lifetime_ms: int
    answer_bytes_limit: int
    customer_rate_per_s: float
    customer_burst: int
    customer_capacity: int
    queue_limit: int
    queue_ms: int
    level_interval_ms: int
    level_lifetime_ms: int
    subset_size: int
    ramp_ms: int
    suspect_ttl_ms: int
    fingerprint_headers: tuple[str, ...]
    heartbeat_ms: int
    lease_ms: int
    pause_ms: int
    reconnect_ms: int
    idle_peer_ms: int
    peer_outbox_limit: int
    configuration_readers: int
    tree_fanout: int
    digest_ms: int
    platform_poll_ms: int
    seeds: tuple[str, ...]
    peers_first_ms: int
    body_limit: int
    request_ms: int
    grace_ms: int
    shutdown_ms: int
    disabled_mechanisms: tuple[str, ...]

    @property
    def node(self) -> str:
        """Return the node id, the address that peers dial."""
        return f"{self.address}:{self.peer_port}"


SettingsResult = Result[NodeSettings, tuple[str, ...]]
TYPE_NAMES = {bool: "true or false", int: "a whole number", float: "a number", str: "a string"}
HIGHEST_PORT = 65_535


def structure_setting(value: Any, kind: type) -> Any:
    """Return the value if it has the type of its setting, else raise a ValueError.

    A whole number is also accepted for a float.
    """
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"expected {TYPE_NAMES[kind]}, found {value!r}")
    return value


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in TYPE_NAMES:
        converter.register_structure_hook(kind, structure_setting)
    return converter


CONVERTER = make_converter()


def normalise_settings(given: dict[str, Any]) -> SettingsResult:
    """Return the settings completed with the defaults, or all problems."""
    problems = range_problems(given)
    try:
        settings = CONVERTER.structure({**DEFAULTS, **given}, NodeSettings)
    except cattrs.BaseValidationError as error:
        found = transform_error(error, format_exception=setting_problem)
        return Error((*map(prefix_key, found), *problems))
    return Error(problems) if problems else Ok(settings)


def prefix_key(problem: str) -> str:
    """Return a problem with its key moved from the end, where cattrs appends it, to the front."""
    text, _, key = problem.partition(" @ $.")
    return f"{key}: {text}" if key else text.removesuffix(" @ $")


def setting_problem(error: BaseException, _kind: type | None) -> str:
    """Return the message for an invalid setting, to which cattrs appends the key."""
    if isinstance(error, ForbiddenExtraKeysError):
        return "; ".join(
            f"unknown key {key}{suggest_key(key)}" for key in sorted(error.extra_fields)
        )
    if isinstance(error, KeyError):
        return "the key is missing"
    return str(error)


def suggest_key(key: str) -> str:
    """Return a hint with the most similar known key, or an empty string."""
    close = get_close_matches(key, [attribute.name for attribute in fields(NodeSettings)], 1)
    return f", did you mean {close[0]}?" if close else ""


def range_problems(given: dict[str, Any]) -> tuple[str, ...]:
    """Return the problems of numbers that are out of range."""
    problems = []
    for key, value in given.items():
        if type(value) not in (int, float):
            continue
        if key.endswith("_port") and not 0 < value <= HIGHEST_PORT:
            problems.append(f"{key}: {value} is not a port, use 1 to {HIGHEST_PORT}")
        elif value < 0:
            problems.append(f"{key}: {value} is negative")
    return tuple(problems)
