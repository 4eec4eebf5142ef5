"""Tests of the settings for quotas, crossings and limits of a process on the platform."""

import json

import pytest
from basilhill.balancing import CrossingCost
from basilhill.credits import QuotaBounds
from basilhill_node.platform.settings import decode_settings

SETTINGS = {
    "self": {"nodeName": "n", "ip": "10.1.0.8", "zone": "a"},
    "network": {
        "listen": {
            name: f"10.1.0.8:830{n}" for n, name in enumerate(("inbound", "outbound", "ready"))
        }
    },
    "platform": {"platform": {"address": "10.200.1.7:8309"}},
    "terms": {
        "bounds": {
            "graceS": 6,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetMinRetries": 48,
        }
    },
}
QUOTA = {"quotaWindowS": 5, "quotaOverage": 0.25, "quotaSlack": 20}


def decode(limits: dict | None = None, bounds: dict | None = None, crossing: dict | None = None):
    tables = {
        **SETTINGS,
        "self": SETTINGS["self"] | {"limits": limits or {}},
        "terms": {"bounds": SETTINGS["terms"]["bounds"] | (bounds or {})},
        "crossing": crossing or {},
    }
    return decode_settings(json.dumps(tables).encode())


def test_platform_without_quotas_gets_the_defaults():
    settings = decode().ok
    assert settings.quota_bounds == QuotaBounds()
    assert settings.crossing_cost == CrossingCost()


def test_bounds_and_costs_are_read():
    settings = decode(bounds=QUOTA, crossing={"baseMs": 5, "msPerMb": 200}).ok
    assert settings.quota_bounds == QuotaBounds(5_000, 0.25, 20)
    assert settings.crossing_cost == CrossingCost(5, 200)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "expected"),
    [(200, 4_100, 1_000), (552, 8_192, 2_760), (300, 1_000, 400), (100, 100, 1)],
)
def test_connections_of_clients_follow_memory_and_descriptors(memory_mb, descriptors, expected):
    """Guard against connections of clients that leave none for peers and the store."""
    settings = decode(limits={"memoryMb": memory_mb, "maxFds": descriptors}).ok
    assert settings.client_connections == expected


@pytest.mark.parametrize(
    "changes",
    [
        {"bounds": {"quotaSlack": -1}},
        {"bounds": {"quotaWindowS": "5"}},
        {"crossing": {"baseMs": -1}},
        {"limits": {"maxFds": "many"}},
    ],
)
def test_settings_out_of_range_are_refused_with_their_name(changes):
    ((_, table),) = changes.items()
    assert next(iter(table)) in decode(**changes).error
