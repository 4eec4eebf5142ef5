"""Tests of what backend servers state about themselves in the headers of the platform."""

import pytest
from basilhill.outcomes import Header
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.sidecar.dialect import ServerStatement


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ((), None),
        (("20.4",), 20.4),
        ((" 3 ",), 3.0),
        (("0",), 0.0),
        (("20", "8.5"), 8.5),
        # Two fields in one, as a library may send them.
        (("20, 8.5",), 8.5),
        (("3.3333333333333335",), 10 / 3),
        (("0.1000000000000000055511151231257827",), 0.1),
        (("+7.", ".5", "007"), 0.5),
        (("5.0E-4",), 0.0005),
        (("1e-05",), 0.00001),
        (("1e9",), 1e9),
        (("9" * 40,), 1e9),
        (("9" * 4_000,), 1e9),
        (("1e99999",), 1e9),
        (("0." + "0" * 4_000 + "1",), 0.0),
    ],
)
def test_limit_of_a_server_is_decoded(values, limit_per_s):
    """Guard against a limit that is not kept because of the way in which a language prints it."""
    headers = [Header("server-limit", value) for value in values]
    assert PlatformDialect().decode_statement(headers) == ServerStatement(limit_per_s)


@pytest.mark.parametrize(
    "value",
    [
        "",
        "x",
        "-1",
        "-0",
        "inf",
        "nan",
        "1e",
        "1_0",
        "20 8",
        "20,",
        "٣",
        "0x10",
        ".",
        "1.2.3",
        "e5",
        "9" * 60_000 + "x",
    ],
)
def test_malformed_limit_of_a_server_is_reported(value):
    """Guard against a malformed limit that removes the limit or is taken for an infinite one."""
    headers = [Header("server-limit", "5"), Header("server-limit", value)]
    statement = PlatformDialect().decode_statement(headers)
    assert statement.limit_per_s is None and statement.problem


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False), ("yes", False)])
def test_leaving_server_is_decoded(value, leaving):
    statement = PlatformDialect().decode_statement([Header("server-leaving", value)])
    assert statement == ServerStatement(None, leaving)
