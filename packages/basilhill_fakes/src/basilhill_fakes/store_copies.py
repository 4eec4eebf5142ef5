"""Return of a store from a copy of itself, and what its writers write again."""

import asyncio
from random import Random

from basilhill_fakes.platform_store import PlatformStoreState

# Time until a server or the operator writes again what the copy lacks: at most a heartbeat.
REWRITE_DELAY_S = (0.0, 1.5)
# Entries that no server renews expire after three heartbeats.
EXPIRY_S = 4.5


async def write_lost_again(store: PlatformStoreState, random: Random) -> None:
    """Write what a copy lacks in any order, and let the entries expire that only the copy has."""

    async def write(key: str) -> None:
        await asyncio.sleep(random.uniform(*REWRITE_DELAY_S))
        store.write_again(key)

    async def expire(key: str) -> None:
        await asyncio.sleep(EXPIRY_S)
        store.expire(key)

    await asyncio.gather(
        *(write(key) for key in sorted(store.lost)),
        *(expire(key) for key in sorted(store.expiring)),
    )
