"""Tests of routes: longest prefix and traffic splits."""

from basilhill.configuration import Configuration, Route, WeightedService
from basilhill.queries.configuration import choose_service, find_route, order_routes


def route(name: str, prefix: str, *services: WeightedService, host: str = "shop.example") -> Route:
    parts = services or (WeightedService("calendar", 1.0),)
    return Route(name, host, prefix, True, 2, 1_000, 500, 0, parts)


def configuration(*routes: Route) -> Configuration:
    return Configuration(1, order_routes(list(routes)))


def test_longest_prefix_matches_in_any_order():
    found = configuration(route("short", "/a/"), route("long", "/a/b/"))
    assert find_route(found, "shop.example", "/a/b/c").name == "long"
    assert find_route(found, "shop.example", "/a/c").name == "short"


def test_route_of_another_host_or_an_unfinished_prefix_does_not_match():
    found = configuration(route("only", "/a/"))
    assert find_route(found, "other.example", "/a/b") is None
    assert find_route(found, "shop.example", "/a") is None
    assert find_route(found, "shop.example", "/ab") is None


def test_traffic_split_holds_its_weights_in_a_short_sequence_from_any_offset():
    """Guard against a share that deviates by more than 0.1 from its weight in 300 requests."""
    split = route("split", "/a/", WeightedService("old", 90.0), WeightedService("new", 10.0))
    for offset in (0.0, 0.37, 0.91):
        chosen = [choose_service(split, count, offset) for count in range(50)]
        assert abs(chosen.count("new") - 5) <= 1


def test_split_with_one_service_needs_no_weight():
    assert choose_service(route("one", "/a/"), 7, 0.5) == "calendar"
