"""Plans of soaks in the shape of the deployments: services, zones and rates."""

from attrs import evolve

from basilhill_fakes.sidecar_fleet import build_route, build_tenant
from basilhill_fakes.soak import FaultSequence, SoakPlan
from basilhill_fakes.soak_changes import (
    AddOrDropRoute,
    ChangeQuota,
    ChangeRhythm,
    ChangeTimeout,
    MoveAllRoutes,
    MoveToOtherService,
    RotateKey,
)
from basilhill_fakes.soak_faults import NODE_FAULTS, STORE_FAULTS, Overlapping
from basilhill_fakes.soak_leavings import (
    FOREIGN_ENTRIES,
    LEAVING_FAULTS,
    LEAVINGS,
    NOTICES,
    RELEASE_FAULTS,
)
from basilhill_fakes.soak_store_faults import LoseResponses, RestoreStore

DEGUSTARI = {"calendar": 4, "rezervari": 3, "avansuri": 3, "arome": 3}
# Routes that are added, dropped and added again.
OPTIONAL_ROUTES = tuple(
    build_route(f"r-extra-{number}", f"/extra-{number}/", service, attempts=3)
    for number, service in enumerate(DEGUSTARI)
)
CHANGES = (
    MoveToOtherService(),
    MoveToOtherService(),
    AddOrDropRoute(OPTIONAL_ROUTES),
    AddOrDropRoute(OPTIONAL_ROUTES),
    ChangeTimeout(),
)


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
        sequences=(FaultSequence(LEAVING_FAULTS, (0.2, 6.0)),) * 4,
        think_time_s=think_time_s,
    )


def configuration_plan(
    rhythm: ChangeRhythm, stale_s: tuple[float, float], *sequences: FaultSequence
) -> SoakPlan:
    """Return a plan in the shape of degustari-ro with changes of the configuration."""
    return evolve(
        deployment_plan(DEGUSTARI, think_time_s=0.2),
        sequences=sequences,
        rhythm=rhythm,
        stale_s=stale_s,
        proxied=False,
    )


# Requests per second of the tenants with a quota; all clients together want about twice as many.
RATES = (5, 10, 40)
TENANTS = tuple(
    build_tenant(name, f"key-{name}-1", f"key-{name}-2", ratePerS=rate, burst=rate)
    for name, rate in zip(("small", "middle", "large"), RATES, strict=True)
) + (
    build_tenant("unlimited", "key-unlimited-1", "key-unlimited-2"),
)

CALLED = {
    service: build_route(f"r-{service}-lookup", f"/{service}-lookup/", service, timeoutS=2.5)
    for service in ("rezervari", "avansuri")
}
BOOKINGS = deployment_plan(DEGUSTARI, think_time_s=0.15)
# Releases in the shape of degustari-ro: servers call others, and are slow enough for queues.
RELEASES = evolve(
    BOOKINGS,
    routes=(*(route | {"timeoutS": 5} for route in BOOKINGS.routes), *CALLED.values()),
    sequences=(
        *(FaultSequence(RELEASE_FAULTS, (0.2, 6.0)),) * 4,
        FaultSequence(FOREIGN_ENTRIES, gap_s=(0.5, 3.0)),
        FaultSequence((Overlapping((*STORE_FAULTS, *NODE_FAULTS), 4.0),), (0.2, 3.0), (3.0, 9.0)),
    ),
    proxied=False,
    calls={"calendar": CALLED["rezervari"]["prefix"], "rezervari": CALLED["avansuri"]["prefix"]},
    run_ms=100,
    deadline_ms=5_000,
)

# The store comes back from copies again and again.
COPIES = FaultSequence((RestoreStore(),), gap_s=(1.0, 6.0))

PLANS = {
    "default": SoakPlan(),
    "workspaces": SoakPlan(
        tenants=TENANTS,
        rhythm=ChangeRhythm(
            (RotateKey(), RotateKey(), ChangeQuota(RATES)), step_s=(0.5, 3.0), pause_s=4.0
        ),
        sequences=(FaultSequence((*NODE_FAULTS, *STORE_FAULTS), (0.2, 3.0)),) * 3,
    ),
    "leaving-degustari": deployment_plan(DEGUSTARI, think_time_s=0.12),
    "leaving-jermanova": deployment_plan(
        {"catalogue": 4, "warehouse": 3, "checkout": 4, "ledger": 3}, think_time_s=0.08
    ),
    "releases-degustari": RELEASES,
    # The same with too few slots, so that calls wait for one.
    "crowded-releases-degustari": evolve(RELEASES, slots=2, think_time_s=0.05),
    # Callers have time and servers are slow, so that calls wait for seconds. One request for each
    # route of each node would take longer than the bound of recovery without any fault.
    "patient-releases-degustari": evolve(
        RELEASES,
        routes=tuple(route | {"targetLatencyS": 30} for route in RELEASES.routes),
        slots=1,
        run_ms=800,
        recovery_run_ms=5,
        think_time_s=0.4,
    ),
    # Servers leave with notice to the store alone, whose watches have been lost.
    "lost-watches-releases": evolve(
        BOOKINGS,
        sequences=(
            *(FaultSequence(NOTICES, (0.2, 3.0), (1.0, 4.0)),) * 3,
            FaultSequence((LoseResponses(),), duration_s=(0.0, 0.0), gap_s=(9.0, 9.0)),
        ),
        stale_s=(8.0, 8.0),
        proxied=False,
    ),
    # The only server of a service leaves, too.
    "leaving-single": deployment_plan(
        {"calendar": 3, "rezervari": 2, "avansuri": 1, "arome": 1}, think_time_s=0.1
    ),
    "configurations-degustari": evolve(
        configuration_plan(
            ChangeRhythm(CHANGES),
            (0.0, 5.0),
            FaultSequence((Overlapping(STORE_FAULTS, 4.0),), (0.5, 8.0), (4.0, 10.0)),
            FaultSequence(NODE_FAULTS, (0.3, 6.0), (0.5, 4.0)),
        ),
        optional_requests=tuple(("GET", route["prefix"]) for route in OPTIONAL_ROUTES),
    ),
    # Responses to watches are lost, while reads that may be stale return an old revision. A watch
    # waits then, 0.25 to 0.75 s before the next change.
    "lost-watches-degustari": configuration_plan(
        ChangeRhythm((MoveAllRoutes(),), step_s=(1.0, 1.0), group=0, pause_s=0.0),
        (4.0, 4.0),
        FaultSequence((LoseResponses(),), duration_s=(0.0, 0.0), gap_s=(4.75, 4.75)),
    ),
    # Changes and leavings beside a store that comes back from copies, and nothing else.
    "copies-degustari": evolve(
        configuration_plan(
            ChangeRhythm(CHANGES), (0.0, 5.0), COPIES, FaultSequence(LEAVINGS, (0.2, 6.0))
        ),
        optional_requests=tuple(("GET", route["prefix"]) for route in OPTIONAL_ROUTES),
    ),
    # The same with many servers that leave, of which only the store is told.
    "copies-releases-degustari": configuration_plan(
        ChangeRhythm(CHANGES),
        (0.0, 5.0),
        COPIES,
        *(FaultSequence(NOTICES, (0.2, 3.0), (0.5, 2.0)),) * 3,
    ),
    # The same beside faults of nodes and other ones of the store.
    "copies-faults-degustari": evolve(
        configuration_plan(
            ChangeRhythm(CHANGES),
            (0.0, 5.0),
            COPIES,
            FaultSequence(LEAVINGS, (0.2, 6.0)),
            FaultSequence((Overlapping(STORE_FAULTS, 4.0),), (0.5, 8.0), (4.0, 10.0)),
            FaultSequence(NODE_FAULTS, (0.3, 6.0), (0.5, 4.0)),
        ),
        optional_requests=tuple(("GET", route["prefix"]) for route in OPTIONAL_ROUTES),
    ),
}
