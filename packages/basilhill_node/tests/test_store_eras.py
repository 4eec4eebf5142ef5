"""Tests of the eras that responses of the store state."""

import pytest
from basilhill.outcomes import Header
from basilhill_node.platform.store import decode_era
from basilhill_node.sidecar.positions import StatedEra, StorePosition


def stated(*texts: str) -> StatedEra:
    return decode_era([Header("store-era", text) for text in texts])


@pytest.mark.parametrize(
    "text, number", [("0", 0), ("7", 7), (" 12 ", 12), ("003", 3), ("9" * 15, 10**15 - 1)]
)
def test_era_is_a_number_in_any_spelling(text, number):
    """Guard against an era that is missed because of the way in which it is written."""
    assert stated(text) == StatedEra(number)
    assert stated(text, text) == StatedEra(number)


@pytest.mark.parametrize(
    "texts", [("",), ("x",), ("-1",), ("1.5",), ("1e3",), ("9" * 16,), ("\u0663",), ("1", "2")]
)
def test_era_that_cannot_be_read_is_a_problem_and_no_era(texts):
    """Guard against a node that takes a malformed value for a new era, or fails because of it."""
    era = stated(*texts)
    assert era.number is None and "is not one number" in era.problem
    assert era.position(5, StorePosition(3, 9)) == StorePosition(3, 5)


def test_response_without_an_era_is_of_the_known_one():
    """Guard against a platform without eras whose positions cannot be compared."""
    assert stated() == StatedEra()
    assert stated().position(5, StorePosition(3, 4)) == StorePosition(3, 5)


def test_era_goes_before_the_revision():
    """Guard against a later revision of an earlier era that counts as news."""
    assert StorePosition(2, 1) > StorePosition(1, 900)
    assert StorePosition(2, 1).begins_era(StorePosition(1, 900))
    # A node that knows nothing has no earlier state that a copy could have lost.
    assert not StorePosition(2, 1).begins_era(StorePosition())
