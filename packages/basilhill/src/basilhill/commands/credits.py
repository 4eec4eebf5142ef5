"""Lend and spend the credit of workspaces with a quota.

Pattern of load: one customer sends many times its usual requests, from one node or from all, while
nodes are killed and see different members of the fleet. What a keeper does not lend cannot run, so
the quota holds without agreement between nodes. Requests within the quota start at once: origins
charge them to a keeper afterwards, as long as keepers report that credit is left.
"""

from bisect import bisect_left, insort
from math import log

from basilhill.credits import (
    CreditAccount,
    CreditGrant,
    CreditRequest,
    CreditShare,
    KeeperDirectory,
    KeeperRing,
)
from basilhill.queries.cohorts import hash_of
from basilhill.queries.credits import (
    LENT_S,
    MS_PER_S,
    bucket_depth,
    credit_at,
    is_trusting,
    share_per_s,
    utilisation_of,
)
from basilhill.workspaces import RequestQuota

# Points of a node on the ring, which even out the shares that nodes keep.
POINTS = 4
# Half-life of the average of the demand for a share.
DEMAND_MS = 2_000
# A share that is short of credit is asked after the others for this time.
SHORT_MS = 500
# Bounds of the utilisation, which rests on few requests for a small quota.
UTILISATION_RANGE = (0.05, 20.0)


def add_keeper(keepers: KeeperDirectory, data_centre: str, address: str, now_ms: int) -> None:
    """Add a node to the ring of its data centre, unless it is a member."""
    ring = keepers.rings.get(data_centre)
    if ring is None:
        ring = keepers.rings[data_centre] = KeeperRing()
        insort(keepers.data_centres, data_centre)
    if address in ring.addresses:
        return
    ring.addresses.add(address)
    keepers.changed_ms = now_ms
    for point in ring_points(address):
        # Of two nodes with the same point, all nodes choose the same one.
        if point not in ring.nodes:
            insort(ring.points, point)
        ring.nodes[point] = min(address, ring.nodes.get(point, address))


def remove_keeper(keepers: KeeperDirectory, data_centre: str, address: str, now_ms: int) -> None:
    """Remove a node from the ring of its data centre, if it is a member."""
    ring = keepers.rings.get(data_centre)
    if ring is None or address not in ring.addresses:
        return
    ring.addresses.remove(address)
    keepers.changed_ms = now_ms
    if not ring.addresses:
        del keepers.rings[data_centre]
        keepers.data_centres.remove(data_centre)
    for point in ring_points(address):
        if ring.nodes.get(point) == address:
            del ring.nodes[point]
            del ring.points[bisect_left(ring.points, point)]


def ring_points(address: str) -> list[int]:
    return [hash_of(f"{number}#{address}") for number in range(POINTS)]


def open_share(quota: RequestQuota, since_ms: int, now_ms: int) -> CreditShare:
    """Return a share whose credit has accumulated since no other node can have lent from it."""
    share = CreditShare(quota, 0.0, min(since_ms, now_ms))
    refill_share(share, quota, now_ms)
    return share


def refill_share(share: CreditShare, quota: RequestQuota, now_ms: int) -> None:
    """Add the credit gained since the last update, and apply the quota in force."""
    credit = credit_at(share, now_ms)
    share.demand_per_s *= 0.5 ** ((now_ms - share.updated_ms) / DEMAND_MS)
    share.quota = quota
    share.tokens = min(credit, bucket_depth(quota))
    share.updated_ms = now_ms


def grant_credit(share: CreditShare, request: CreditRequest) -> CreditGrant:
    """Charge what ran on trust, and lend credit; without credit, lend one request of later credit.

    The share is refilled before.
    """
    asked = request.spent + request.refused + min(1, request.wanted)
    share.demand_per_s += asked * log(2) * MS_PER_S / DEMAND_MS
    share.tokens -= request.spent
    lent, wait_ms = min(request.wanted, max(0, int(share.tokens))), 0
    if request.wanted and not lent:
        wait_ms = int((1.0 - share.tokens) * MS_PER_S / share_per_s(share.quota)) + 1
        lent = int(wait_ms <= request.wait_limit_ms)
    share.tokens -= lent
    least, most = UTILISATION_RANGE
    utilisation = min(most, max(least, utilisation_of(share)))
    return CreditGrant(lent, wait_ms, is_trusting(share), utilisation)


def count_request(account: CreditAccount, now_ms: int) -> None:
    """Record a request of the workspace at this origin."""
    account.recent_ms.append(now_ms)
    account.used_ms = now_ms


def take_lent_credit(account: CreditAccount, now_ms: int) -> bool:
    """Spend credit that was lent ahead; return whether there was some."""
    if now_ms > account.lent_until_ms:
        account.lent = 0
    if not account.lent:
        return False
    account.lent -= 1
    return True


def take_trust(account: CreditAccount, allowance: int) -> bool:
    """Start a request before it is charged; return whether the origin is trusted with it."""
    if not account.trusted or account.owed >= allowance:
        return False
    account.owed += 1
    return True


def apply_grant(
    account: CreditAccount, request: CreditRequest, grant: CreditGrant, now_ms: int
) -> None:
    """Record the response of a keeper, except the credit that it lent."""
    account.owed -= request.spent
    account.trusted = grant.trusted
    account.short_until_ms[request.share] = 0 if grant.trusted else now_ms + SHORT_MS
    account.utilisation = grant.utilisation
    if request.wanted and not grant.lent:
        account.available_ms[request.share] = now_ms + grant.wait_ms


def add_lent_credit(account: CreditAccount, count: int, now_ms: int) -> None:
    """Keep credit for the next requests, also that of a request that was refused before it ran."""
    if now_ms > account.lent_until_ms:
        account.lent = 0
    account.lent += count
    account.lent_until_ms = now_ms + int(LENT_S * MS_PER_S / 2)
