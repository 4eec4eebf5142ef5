"""Plans of soaks in the shape of the deployments: services, zones and rates."""

from basilhill_fakes.sidecar_fleet import build_route
from basilhill_fakes.soak import SoakPlan
from basilhill_fakes.soak_faults import LEAVING_FAULTS


def deployment_plan(servers: dict[str, int], think_time_s: float) -> SoakPlan:
    """Return a plan with servers that leave, and a route to each service.

    Requests of the second service are not idempotent.
    """
    names = tuple(servers)
    routes = tuple(
        build_route(f"r-{name}", f"/{name}/", name, attempts=3)
        | ({"kind": "non_idempotent"} if name == names[1] else {})
        for name in names
    )
    requests = tuple(("POST" if name == names[1] else "GET", f"/{name}/") for name in names)
    services = tuple(name for name, count in servers.items() for _ in range(count))
    return SoakPlan(
        services,
        routes,
        requests,
        LEAVING_FAULTS,
        fault_duration_s=(0.2, 6.0),
        think_time_s=think_time_s,
    )


PLANS = {
    "default": SoakPlan(),
    "leaving-degustari": deployment_plan(
        {"calendar": 4, "rezervari": 3, "avansuri": 3, "arome": 3}, think_time_s=0.12
    ),
    "leaving-jermanova": deployment_plan(
        {"catalogue": 4, "warehouse": 3, "checkout": 4, "ledger": 3}, think_time_s=0.08
    ),
    # The only server of a service leaves, too.
    "leaving-single": deployment_plan(
        {"calendar": 3, "rezervari": 2, "avansuri": 1, "arome": 1}, think_time_s=0.1
    ),
}
