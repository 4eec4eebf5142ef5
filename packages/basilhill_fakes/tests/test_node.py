"""Tests of the network of the node stand-in."""

import pytest
from basilhill_fakes.node import FakeNetwork

FAR, NEAR = "127.0.0.2:7401", "127.0.0.3:7401"


def test_distance_delays_messages_and_breaks_no_stream():
    """Guards against runs whose streams between data centres break for no reason."""
    network = FakeNetwork(delays_ms={FAR: 1.5})
    assert network.reachable(FAR)
    assert (network.delay_ms(FAR), network.delay_ms(NEAR)) == (1.5, 0.0)


def test_faults_of_the_network_are_set_by_name_only():
    """Guards against delays that are taken for broken streams."""
    with pytest.raises(TypeError):
        FakeNetwork(set(), {FAR: 1.5})
    network = FakeNetwork(broken={FAR})
    with pytest.raises(ConnectionResetError):
        network.reachable(FAR)
    assert network.reachable(NEAR)
