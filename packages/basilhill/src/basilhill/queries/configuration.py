"""Find routes and choose the services of their requests."""

from basilhill.configuration import Configuration, Route

# The fractional parts of multiples of the golden ratio are evenly distributed, so that the weights
# also hold for short sequences of requests.
GOLDEN_RATIO = 0.618033988749895


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix that matches a path."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def route_names(configuration: Configuration | None) -> set[str]:
    if configuration is None:
        return set()
    return {route.name for routes in configuration.routes.values() for route in routes}


def order_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, those with the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in hosts.items()
    }


def choose_service(route: Route, count: int, offset: float) -> str:
    """Return the service of a route's request number `count`, in proportion to the weights."""
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(part.weight for part in route.services)
    point = (offset + count * GOLDEN_RATIO) % 1.0 * total
    for part in route.services:
        point -= part.weight
        if point < 0:
            return part.service
    return route.services[-1].service
