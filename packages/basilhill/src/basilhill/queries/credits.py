"""Read the credit of workspaces: keepers, buckets, and what an origin may start on trust."""

from bisect import bisect_right

from basilhill.credits import SHARES, CreditAccount, CreditShare, KeeperDirectory, QuotaBounds
from basilhill.queries.cohorts import hash_fraction, hash_of
from basilhill.workspaces import RequestQuota

MS_PER_S = 1000
# Longest time from the grant of credit until its request starts at a server, in seconds. Credit
# that was lent before a window begins is spent within it.
LENT_S = 1.0
# Part of the platform's allowance beyond the quota that origins may start on trust. The rest is for
# credit that is lent twice while nodes see different keepers.
TRUST_PART = 0.7
# Keepers trust origins while at least this part of their bucket is left.
TRUSTED_LEVEL = 0.5


def share_data_centre(keepers: KeeperDirectory, workspace: str, share: int) -> str | None:
    """Return the data centre of a share, None without nodes; shares are spread over all."""
    names = keepers.data_centres
    return names[(hash_of(workspace) + share) % len(names)] if names else None


def keeper_of(keepers: KeeperDirectory, workspace: str, share: int) -> str | None:
    """Return the address of the node that keeps a share, None without nodes."""
    data_centre = share_data_centre(keepers, workspace, share)
    if data_centre is None:
        return None
    ring = keepers.rings[data_centre]
    index = bisect_right(ring.points, hash_of(f"{share}/{workspace}")) % len(ring.points)
    return ring.nodes[ring.points[index]]


def bucket_depth(quota: RequestQuota) -> float:
    """Return the most credit that one share accumulates.

    One request more than its part of the burst, since parts of a request are of no use.
    """
    return 1.0 + quota.burst / SHARES


def share_per_s(quota: RequestQuota) -> float:
    return quota.per_s / SHARES


def credit_at(share: CreditShare, now_ms: int) -> float:
    """Return the credit of a share at a time."""
    gained = (now_ms - share.updated_ms) * share_per_s(share.quota) / MS_PER_S
    return min(bucket_depth(share.quota), share.tokens + gained)


def is_trusting(share: CreditShare) -> bool:
    """Return whether a share has so much credit that origins need not ask first."""
    return share.tokens >= TRUSTED_LEVEL * bucket_depth(share.quota)


def utilisation_of(share: CreditShare) -> float:
    """Return the demand for a share relative to its part of the quota."""
    return share.demand_per_s / share_per_s(share.quota)


def trust_limit(quota: RequestQuota, bounds: QuotaBounds) -> float:
    """Return how many requests all origins together may start on trust.

    They are charged afterwards. Runs in a window are at most the credit of the window and of the
    time in which credit is lent, plus what was on trust when the buckets became empty.
    """
    window_s = bounds.window_ms / MS_PER_S
    allowed = bounds.slack + bounds.overage * (quota.per_s * window_s + quota.burst)
    deeper = SHARES * bucket_depth(quota) - quota.burst
    return TRUST_PART * max(0.0, allowed - quota.per_s * LENT_S - deeper)


def trust_allowance(
    quota: RequestQuota, bounds: QuotaBounds, workspace: str, node: str, nodes: int
) -> int:
    """Return the requests that one origin may start on trust before a keeper acknowledges them.

    The limit of all origins is divided evenly; which ones get the remainder depends on a hash.
    """
    part = trust_limit(quota, bounds) / max(1, nodes)
    return int(part + hash_fraction(f"{workspace}@{node}"))


def wanted_credit(account: CreditAccount, now_ms: int) -> int:
    """Return the credit that the requests of the next half of `LENT_S` will need."""
    horizon_ms = LENT_S * MS_PER_S / 2
    return sum(now_ms - at_ms <= horizon_ms for at_ms in account.recent_ms)


def askable_shares(account: CreditAccount, now_ms: int, wait_limit_ms: int) -> list[int]:
    """Return the shares that may have credit within a wait, in order, those that are short last."""
    askable = [one for one in account.order if account.available_ms[one] - now_ms <= wait_limit_ms]
    return sorted(askable, key=lambda one: account.short_until_ms[one] > now_ms)


def reported_share(account: CreditAccount, now_ms: int) -> int:
    """Return the share that requests on trust are charged to: the first that is not short."""
    return min(account.order, key=lambda one: max(now_ms, account.short_until_ms[one]))


def credit_wait_ms(account: CreditAccount, now_ms: int) -> int:
    """Return the time until the first share has credit again."""
    return max(0, min(account.available_ms) - now_ms)
