"""Changes of the configuration in a soak."""

import asyncio
from random import Random
from typing import Protocol

from attrs import define, frozen

from basilhill_fakes.soak_fleet import SoakFleet

TIMEOUTS_S = (1.5, 2, 3)
# Part of the new keys that another tenant had.
MOVED_KEY_SHARE = 0.3


class Change(Protocol):
    """Change of the configuration."""

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        """Write a new version of the configuration into the store."""
        ...


@define
class MoveToOtherService:
    """Move of a route to another service."""

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        prefix = random.choice(sorted(fleet.routes))
        others = {vm.server.service for vm in fleet.vms} - {fleet.routes[prefix]["service"]}
        fleet.change_route(prefix, service=random.choice(sorted(others)))


@define
class MoveAllRoutes:
    """Move of all routes to the next service, so that each request shows the version."""

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        services = sorted({vm.server.service for vm in fleet.vms})
        following = dict(zip(services, services[1:] + services[:1], strict=True))
        for prefix, route in fleet.routes.items():
            fleet.routes[prefix] = route | {"service": following[route["service"]]}
        fleet.write_configuration()


@define
class AddOrDropRoute:
    """Addition of an optional route, also of one that was dropped, or its removal."""

    routes: tuple[dict, ...]

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        route = random.choice(self.routes)
        if fleet.routes.pop(route["prefix"], None) is None:
            fleet.routes[route["prefix"]] = route
        fleet.write_configuration()


@define
class ChangeTimeout:
    """Change of the timeout of a route and of nothing else."""

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        prefix = random.choice(sorted(fleet.routes))
        fleet.change_route(prefix, timeoutS=random.choice(TIMEOUTS_S))


@define
class RotateKey:
    """Replacement of a key of a tenant by a new one, which may be the key of another tenant."""

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        name = random.choice(sorted(fleet.tenants))
        keys = fleet.tenants[name]["apiKeys"][1:]
        others = sorted(set(fleet.tenants) - {name})
        giver = random.choice(others)
        if random.random() < MOVED_KEY_SHARE and len(fleet.tenants[giver]["apiKeys"]) > 1:
            moved, *kept = fleet.tenants[giver]["apiKeys"]
            fleet.tenants[giver] = fleet.tenants[giver] | {"apiKeys": kept}
        else:
            moved = f"key-{random.getrandbits(64):016x}"
        fleet.tenants[name] = fleet.tenants[name] | {"apiKeys": [*keys, moved]}
        fleet.write_configuration()


@define
class ChangeQuota:
    """Change of the quota of a tenant, also to a quarter."""

    rates: tuple[float, ...]

    def apply(self, fleet: SoakFleet, random: Random) -> None:
        name, rate = random.choice(sorted(fleet.tenants)), random.choice(self.rates)
        fleet.tenants[name] = fleet.tenants[name] | {"ratePerS": rate, "burst": rate}
        fleet.write_configuration()


@frozen
class ChangeRhythm:
    """Changes one by one, then a group of changes, then a pause, again and again."""

    changes: tuple[Change, ...]
    # Smallest and largest number of changes before a group, and time after each.
    steps: tuple[int, int] = (1, 4)
    step_s: tuple[float, float] = (1.0, 6.0)
    group: int = 4
    group_step_s: tuple[float, float] = (0.0, 0.3)
    pause_s: float = 10.0

    async def run(self, fleet: SoakFleet, random: Random) -> None:
        """Change the configuration until cancelled."""
        while True:
            for _ in range(random.randint(*self.steps)):
                random.choice(self.changes).apply(fleet, random)
                await asyncio.sleep(random.uniform(*self.step_s))
            for _ in range(self.group):
                random.choice(self.changes).apply(fleet, random)
                await asyncio.sleep(random.uniform(*self.group_step_s))
            await asyncio.sleep(self.pause_s)
