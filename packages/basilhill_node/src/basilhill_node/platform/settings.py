"""The platform's settings file."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from basilhill_node.sidecar.state import SidecarSettings

MS_PER_S = 1000
# The same on all days, as `deploy/system.toml` names it; the platform's own ports change daily.
METRICS_PORT = 9464


def decode_settings(data: bytes) -> Result[SidecarSettings, str]:
    """Return the settings of a node from the platform's JSON, or what is wrong with it."""
    try:
        return Ok(read_settings(msgspec.json.decode(data)))
    except KeyError as error:
        return Error(f"the settings have no {error.args[0]!r}")
    except (msgspec.DecodeError, TypeError, ValueError) as error:
        return Error(f"the settings cannot be read: {error}")


def read_settings(tables: dict[str, Any]) -> SidecarSettings:
    """Return the settings of a node from the platform's tables."""
    own, network = tables["self"], tables["network"]
    # The table `platform` holds another one of that name, which is the store.
    store, bounds = tables["platform"]["platform"], tables["terms"]["bounds"]
    return SidecarSettings(
        node=own["nodeName"],
        address=own["ip"],
        data_centre=own["zone"],
        service=own["service"],
        backend_address=own["appAddr"],
        client_port=port_of(network["listen"]["outbound"]),
        # `inbound` is free for traffic between nodes, with the same port on each VM.
        peer_port=port_of(network["listen"]["inbound"]),
        ready_port=port_of(network["listen"]["ready"]),
        metrics_port=METRICS_PORT,
        store_address=store["address"],
        grace_ms=int(bounds["graceS"] * MS_PER_S),
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_window_ms=int(bounds["budgetWindowS"] * MS_PER_S),
        retry_minimum=int(bounds["budgetMinRetries"]),
    )


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])
