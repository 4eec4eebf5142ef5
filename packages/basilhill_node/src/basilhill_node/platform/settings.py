"""Decoding of the platform's settings file."""

import re
from typing import Any

import msgspec
from attrs import define, field
from basilhill.balancing import CrossingCost
from basilhill.credits import QuotaBounds
from expression import Error, Ok, Result

from basilhill_node.platform.input import MAX_NUMBER, decode_input
from basilhill_node.sidecar.memory import DEFAULT_MEMORY_MB
from basilhill_node.sidecar.state import DEFAULT_DESCRIPTORS, SidecarSettings

MS_PER_S = 1000
# Fixed, since `deploy/system.toml` declares it. The ports that the platform assigns change daily.
METRICS_PORT = 9464
HIGHEST_PORT = 65_535
DEFAULT_COST = CrossingCost()
PORT = re.compile(r"[0-9]{1,5}")


def decode_settings(data: bytes) -> Result[SidecarSettings, str]:
    """Return the settings of a node from the platform's JSON, or all problems in one string."""
    return decode_input(
        "the settings", lambda: msgspec.json.decode(data, type=dict[str, Any])
    ).bind(check_settings)


def check_settings(tables: dict[str, Any]) -> Result[SidecarSettings, str]:
    """Return the settings in decoded tables, or all problems in one string."""
    reader = SettingsReader(tables)
    settings = read_settings(reader)
    if reader.problems:
        return Error("the settings cannot be used: " + "; ".join(reader.problems))
    return Ok(settings)


@define(eq=False)
class SettingsReader:
    """Reader of values by their path that collects all problems."""

    tables: dict[str, Any]
    problems: list[str] = field(factory=list)

    def value(self, path: str) -> Any:
        """Return the value at a path such as `self.ip`, None if there is none."""
        found: Any = self.tables
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def required(self, path: str) -> Any:
        """Return the value at a path; record a problem if there is none."""
        found = self.value(path)
        if found is None:
            self.problems.append(f"{path} is missing")
        return found

    def text(self, path: str) -> str:
        found = self.required(path)
        if found is not None and type(found) is not str:
            self.problems.append(f"{path} is {found!r}, not a string")
        return str(found)

    def number(self, path: str, default: float | None = None) -> float:
        """Return a number from 0 to `MAX_NUMBER`, 0 with a problem for any other value.

        Without a default, a missing number is a problem.
        """
        found = self.required(path) if default is None else self.value(path)
        if found is None and default is not None:
            return default
        if type(found) in (int, float) and 0 <= found <= MAX_NUMBER:
            return found
        if found is not None:
            self.problems.append(f"{path} is {found!r}, not a number from 0 to {MAX_NUMBER:g}")
        return 0

    def address(self, path: str) -> str:
        found = self.required(path)
        if found is not None and not is_address(found):
            self.problems.append(f"{path} is {found!r}, not HOST:PORT")
        return str(found)

    def port(self, path: str) -> int:
        """Return the port of an address, 0 with a problem for an invalid one."""
        port = self.address(path).rpartition(":")[2]
        return int(port) if PORT.fullmatch(port) else 0


def is_address(value: Any) -> bool:
    """Return whether a value is a string of the form HOST:PORT."""
    host, _, port = value.rpartition(":") if type(value) is str else ("", "", "")
    return bool(host) and PORT.fullmatch(port) is not None and int(port) <= HIGHEST_PORT


def read_settings(reader: SettingsReader) -> SidecarSettings:
    """Return the settings; they are valid only if the reader has no problems."""
    return SidecarSettings(
        node=reader.text("self.nodeName"),
        address=reader.text("self.ip"),
        data_centre=reader.text("self.zone"),
        # A VM without a backend server has no `service` and no `appAddr`; its node only sends
        # calls.
        service=str(reader.value("self.service") or ""),
        backend_address=str(reader.value("self.appAddr") or ""),
        client_port=reader.port("network.listen.outbound"),
        # `inbound` is available for traffic between nodes and has the same port on each VM.
        peer_port=reader.port("network.listen.inbound"),
        ready_port=reader.port("network.listen.ready"),
        metrics_port=METRICS_PORT,
        # The table `platform.platform` describes the store.
        store_address=reader.address("platform.platform.address"),
        grace_ms=int(reader.number("terms.bounds.graceS") * MS_PER_S),
        retry_ratio=float(reader.number("terms.bounds.retryBudgetRatio")),
        retry_window_ms=int(reader.number("terms.bounds.budgetWindowS") * MS_PER_S),
        retry_minimum=int(reader.number("terms.bounds.budgetMinRetries")),
        # Platforms without quotas state no bounds of them.
        quota_bounds=QuotaBounds(
            window_ms=int(reader.number("terms.bounds.quotaWindowS", 0) * MS_PER_S),
            overage=reader.number("terms.bounds.quotaOverage", 0),
            slack=reader.number("terms.bounds.quotaSlack", 0),
        ),
        crossing_cost=CrossingCost(
            base_ms=reader.number("crossing.baseMs", DEFAULT_COST.base_ms),
            ms_per_mb=reader.number("crossing.msPerMb", DEFAULT_COST.ms_per_mb),
        ),
        descriptors=int(reader.number("self.limits.maxFds", DEFAULT_DESCRIPTORS)),
        memory_mb=int(reader.number("self.limits.memoryMb", DEFAULT_MEMORY_MB)),
    )
