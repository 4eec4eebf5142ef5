"""Tests of the identification of workspaces and of the ranks of their requests."""

import pytest
from basilhill.configuration import Configuration, Route, WeightedService
from basilhill.outcomes import ExecutionStatus, Reason
from basilhill.queries.workspaces import (
    LEAST_PRIORITY,
    authenticate,
    find_quota,
    key_digest,
    least_urgent_rank,
    request_rank,
)
from basilhill.workspaces import Credentials, RequestQuota, Workspace, WorkspaceTable

SHOP = Workspace("shop", 0, RequestQuota(10.0, 5.0))
CAFE = Workspace("cafe", 2)
TABLE = WorkspaceTable(
    {"shop": SHOP, "cafe": CAFE}, {key_digest("s1"): SHOP, key_digest("c1"): CAFE}
)


def new_route(priority: int = 0, public: bool = False) -> Route:
    services = (WeightedService("calendar", 1.0),)
    return Route("r", "h", "/", True, 1, 1000, 500, priority, services, public)


def new_configuration(*routes: Route, workspaces: WorkspaceTable | None = TABLE) -> Configuration:
    return Configuration(1, {"h": routes}, workspaces=workspaces)


@pytest.mark.parametrize(
    ("credentials", "public", "expected"),
    [
        (Credentials("s1"), False, SHOP),
        (Credentials("c1"), True, CAFE),
        (Credentials(), True, None),
    ],
)
def test_workspace_of_a_request_is_the_holder_of_its_key(credentials, public, expected):
    route = new_route(public=public)
    assert authenticate(new_configuration(route), route, credentials).ok is expected


@pytest.mark.parametrize(
    ("credentials", "public"),
    [
        (Credentials(), False),
        (Credentials(""), False),
        (Credentials("s1 "), False),
        (Credentials("unknown"), True),
        (Credentials("s1", problem="two keys"), True),
    ],
)
def test_request_without_a_valid_key_is_refused_as_not_run(credentials, public):
    route = new_route(public=public)
    refusal = authenticate(new_configuration(route), route, credentials).error
    assert refusal.execution_status is ExecutionStatus.NOT_RUN
    assert refusal.reason is Reason.UNAUTHENTICATED
    assert "s1" not in refusal.text and "unknown key" not in refusal.text


def test_configuration_without_workspaces_needs_no_key():
    route = new_route(priority=3)
    configuration = new_configuration(route, workspaces=None)
    assert authenticate(configuration, route, Credentials("any")).ok is None
    assert request_rank(configuration, route, None) == 3
    assert least_urgent_rank(configuration) == 3


def test_priority_of_the_workspace_goes_before_that_of_the_route():
    """Guard against an urgent route of a less urgent workspace that goes first."""
    routes = urgent, usual = new_route(0), new_route(2)
    configuration = new_configuration(*routes)
    ranks = [
        request_rank(configuration, route, workspace)
        for workspace in (SHOP, CAFE)
        for route in (urgent, usual)
    ]
    assert ranks == sorted(set(ranks))
    assert least_urgent_rank(configuration) == ranks[-1]
    # A request without a workspace does not go before those of customers.
    assert request_rank(configuration, urgent, None) == ranks[2]


def test_absurd_priorities_rank_alike():
    """Guard against levels that a frame cannot encode."""
    table = WorkspaceTable({"a": Workspace("a", 10**9), "b": Workspace("b", LEAST_PRIORITY)})
    route = new_route()
    configuration = new_configuration(route, workspaces=table)
    ranks = {request_rank(configuration, route, one) for one in table.by_name.values()}
    assert ranks == {least_urgent_rank(configuration)}


def test_quota_of_an_unknown_or_unlimited_workspace_is_none():
    configuration = new_configuration(new_route())
    assert find_quota(configuration, "shop") == SHOP.quota
    assert find_quota(configuration, "cafe") is None
    assert find_quota(configuration, "gone") is None
    assert find_quota(None, "shop") is None
