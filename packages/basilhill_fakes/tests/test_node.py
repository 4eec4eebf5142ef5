"""Tests of the simulated network of a node."""

import pytest
from basilhill_fakes.node import FakeNetwork

FAR, NEAR = "127.0.0.2:7401", "127.0.0.3:7401"


def test_distance_delays_messages_and_breaks_no_stream():
    """Guard against simulated delays that break streams between data centres."""
    network = FakeNetwork(delays_ms={FAR: 1.5})
    assert network.is_reachable(FAR)
    assert (network.delay_ms(FAR), network.delay_ms(NEAR)) == (1.5, 0.0)


def test_network_faults_are_keyword_only():
    """Guard against delays that are passed as broken streams by position."""
    with pytest.raises(TypeError):
        FakeNetwork(set(), {FAR: 1.5})
    network = FakeNetwork(reset_peers={FAR})
    with pytest.raises(ConnectionResetError):
        network.is_reachable(FAR)
    assert network.is_reachable(NEAR)
