"""Credit for the requests of workspaces with a quota, which keepers lend to the origins.

The quota of a workspace is divided into shares. Each share has one keeper, a node, which lends its
credit and no other; no two nodes have to agree before a request runs.
"""

from collections import deque

from attrs import define, field, frozen

from basilhill.workspaces import RequestQuota

# Shares of a quota. While the keeper of one share is away, the others lend theirs.
SHARES = 4


@frozen
class QuotaBounds:
    """Bounds of the platform for the requests of a workspace within a window, beyond its quota."""

    window_ms: int = 0
    overage: float = 0.0
    slack: float = 0.0


@define(eq=False)
class CreditShare:
    """Token bucket of one share at its keeper; negative after requests that ran on trust.

    `demand_per_s` is the moving average of all requests for credit, also of refused ones.
    """

    quota: RequestQuota
    tokens: float
    updated_ms: int
    demand_per_s: float = 0.0
    # Whether the log says that the share is short of credit.
    reported_short: bool = False


@frozen
class CreditRequest:
    """Request of an origin to a keeper.

    `spent` requests have started on trust, and `refused` ones were refused without a request to a
    keeper. The origin waits up to `wait_limit_ms` for the credit that it wants.
    """

    workspace: str
    share: int
    spent: int
    wanted: int
    refused: int
    wait_limit_ms: int


@frozen
class CreditGrant:
    """Response of a keeper: credit to use after `wait_ms`, or the time until there is some.

    `trusted` is whether origins may start requests before they ask. `utilisation` is the demand of
    the workspace relative to its quota.
    """

    lent: int
    wait_ms: int
    trusted: bool
    utilisation: float


@define(eq=False)
class CreditAccount:
    """Credit of one workspace at one origin.

    `owed` requests have started on trust and are not acknowledged by a keeper yet.
    """

    quota: RequestQuota
    lent: int = 0
    lent_until_ms: int = 0
    owed: int = 0
    refused: int = 0
    trusted: bool = True
    utilisation: float = 1.0
    # Whether a task reports the requests on trust to a keeper.
    settling: bool = False
    used_ms: int = 0
    # Times of the newest requests, for the credit that the next ones will need.
    recent_ms: deque[int] = field(factory=lambda: deque(maxlen=16))
    # Shares in the order in which they are asked, those of near keepers first.
    order: list[int] = field(factory=lambda: list(range(SHARES)))
    # Times until which shares are short, and at which those without credit have some again.
    short_until_ms: list[int] = field(factory=lambda: [0] * SHARES)
    available_ms: list[int] = field(factory=lambda: [0] * SHARES)


@define(eq=False)
class KeeperRing:
    """Nodes of one data centre that keep shares, ordered by the hashes of their addresses."""

    points: list[int] = field(factory=list)
    # Address of the node at each point.
    nodes: dict[int, str] = field(factory=dict)
    addresses: set[str] = field(factory=set)


@define(eq=False)
class KeeperDirectory:
    """Rings of the data centres that have nodes, in the order of their names.

    `changed_ms` is the time of the last change, from which on a node may be the keeper of shares
    that others lent from before.
    """

    rings: dict[str, KeeperRing] = field(factory=dict)
    data_centres: list[str] = field(factory=list)
    changed_ms: int = 0

    @property
    def size(self) -> int:
        """Return the number of nodes."""
        return sum(len(ring.addresses) for ring in self.rings.values())
