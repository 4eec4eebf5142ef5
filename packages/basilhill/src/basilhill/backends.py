"""Backend servers listed by the platform."""

from attrs import define, field, frozen


@frozen
class BackendEntry:
    """One incarnation of a backend server; it is cold until `warm_until_ms` on the local clock."""

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_until_ms: int = 0
    started_ms: int = 0

    @property
    def host(self) -> str:
        """Return the IP address of the VM."""
        return self.address.rpartition(":")[0]


@define(eq=False)
class BackendDirectory:
    """Listed servers, and the times until which entries that went missing in an outage are kept."""

    entries: dict[str, BackendEntry] = field(factory=dict)
    services: dict[str, list[BackendEntry]] = field(factory=dict)
    retained_until_ms: dict[str, int] = field(factory=dict)
    # Last entries of deregistered servers by id, oldest first.
    removed_entries: dict[str, BackendEntry] = field(factory=dict)
    # Entries of removed servers that a copy of the store brought back, by id, and the time until
    # which such entries are not listed.
    withheld: dict[str, BackendEntry] = field(factory=dict)
    withhold_until_ms: int = 0
    # Addresses of servers whose node currently cannot reach the store; their entries expire.
    detached_addresses: set[str] = field(factory=set)
    # Last start times with which servers stated in a response that they leave, by id. An entry
    # without a later start time counts as draining, whatever the store lists, also if it is an old
    # record that arrives after that of a later start.
    leaving: dict[str, int] = field(factory=dict)
    # Listed servers at each address, the last started one first; entries of earlier ones stay until
    # they expire.
    newest_by_address: dict[str, list[BackendEntry]] = field(factory=dict)
    # Ids that the server at their address has refused as not its own. Until the entry of such an id
    # is removed or has another start time, it yields to any other entry with the same address.
    refuted: set[str] = field(factory=set)
    # Listed servers that get no calls because another one has their address.
    replaced: set[str] = field(factory=set)
    # Number of changes, by which lists made from the directory are known to be current.
    generation: int = 0
