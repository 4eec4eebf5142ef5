"""Backend servers as the platform lists them."""

from attrs import define, field, frozen


@frozen
class BackendEntry:
    """Hold one incarnation of a backend server; it is slow until `warm_ms` on the own clock."""

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_ms: int = 0
    born_ms: int = 0

    @property
    def host(self) -> str:
        """Return the IP address of the server's VM."""
        return self.address.rpartition(":")[0]


@define(eq=False)
class BackendDirectory:
    """Hold the listed servers, and until when entries that vanished in an outage are kept."""

    entries: dict[str, BackendEntry] = field(factory=dict)
    services: dict[str, list[BackendEntry]] = field(factory=dict)
    held_until_ms: dict[str, int] = field(factory=dict)
    # Last entries of servers that are gone by id, oldest first.
    departed: dict[str, BackendEntry] = field(factory=dict)
    # Addresses of servers whose own node does not reach the store now; their entries lapse.
    detached: set[str] = field(factory=set)
    # Id of the server that was born last at each address; the entries of earlier ones only lapse.
    newest: dict[str, str] = field(factory=dict)
