"""The platform's settings file."""

from typing import Any

import msgspec
from attrs import define, field
from expression import Error, Ok, Result

from basilhill_node.sidecar.state import SidecarSettings

MS_PER_S = 1000
# The same on all days, as `deploy/system.toml` names it; the platform's own ports change daily.
METRICS_PORT = 9464
HIGHEST_PORT = 65_535


def decode_settings(data: bytes) -> Result[SidecarSettings, str]:
    """Return the settings of a node from the platform's JSON, or all that is wrong with them."""
    try:
        tables = msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Error(f"the settings cannot be read: {error}")
    reader = SettingsReader(tables)
    settings = read_settings(reader)
    if reader.problems:
        return Error("the settings cannot be used: " + "; ".join(reader.problems))
    return Ok(settings)


@define(eq=False)
class SettingsReader:
    """Read values by their path and collect what is wrong with them."""

    tables: dict[str, Any]
    problems: list[str] = field(factory=list)

    def value(self, path: str) -> Any:
        """Return the value at a path, None if there is none."""
        found: Any = self.tables
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def required(self, path: str) -> Any:
        """Return the value at a path, with a problem if there is none."""
        found = self.value(path)
        if found is None:
            self.problems.append(f"{path} is missing")
        return found

    def text(self, path: str) -> str:
        """Return a text."""
        found = self.required(path)
        if found is not None and type(found) is not str:
            self.problems.append(f"{path} is {found!r}, not a text")
        return str(found)

    def number(self, path: str) -> float:
        """Return a number from 0."""
        found = self.required(path)
        if type(found) in (int, float) and found >= 0:
            return found
        if found is not None:
            self.problems.append(f"{path} is {found!r}, not a number from 0")
        return 0

    def address(self, path: str) -> str:
        """Return an address with a port."""
        found = self.required(path)
        if found is not None and not is_address(found):
            self.problems.append(f"{path} is {found!r}, not HOST:PORT")
        return str(found)

    def port(self, path: str) -> int:
        """Return the port of an address."""
        port = self.address(path).rpartition(":")[2]
        return int(port) if port.isdigit() else 0


def is_address(value: Any) -> bool:
    """Tell whether a value is a host with a port."""
    host, _, port = value.rpartition(":") if type(value) is str else ("", "", "")
    return bool(host) and port.isdigit() and int(port) <= HIGHEST_PORT


def read_settings(reader: SettingsReader) -> SidecarSettings:
    """Return the settings of a node from the platform's tables."""
    return SidecarSettings(
        node=reader.text("self.nodeName"),
        address=reader.text("self.ip"),
        data_centre=reader.text("self.zone"),
        # A VM without a server of its own has neither; its node only sends calls.
        service=str(reader.value("self.service") or ""),
        backend_address=str(reader.value("self.appAddr") or ""),
        client_port=reader.port("network.listen.outbound"),
        # `inbound` is free for traffic between nodes, with the same port on each VM.
        peer_port=reader.port("network.listen.inbound"),
        ready_port=reader.port("network.listen.ready"),
        metrics_port=METRICS_PORT,
        # The table `platform` holds another one of that name, which is the store.
        store_address=reader.address("platform.platform.address"),
        grace_ms=int(reader.number("terms.bounds.graceS") * MS_PER_S),
        retry_ratio=float(reader.number("terms.bounds.retryBudgetRatio")),
        retry_window_ms=int(reader.number("terms.bounds.budgetWindowS") * MS_PER_S),
        retry_minimum=int(reader.number("terms.bounds.budgetMinRetries")),
    )
