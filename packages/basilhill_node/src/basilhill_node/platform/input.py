"""Reading of input that others write, which can make a decoder fail in any way."""

from collections.abc import Callable
from typing import Any, TypeVar

from expression import Error, Ok, Result

Decoded = TypeVar("Decoded")
# Largest number in input; sums and products of such numbers fit into all encodings.
MAX_NUMBER = 1e9
MAX_TIMESTAMP_MS = 1 << 48


def decode_input(subject: str, decode: Callable[[], Decoded]) -> Result[Decoded, str]:
    """Return what a decoder returns, or why the subject cannot be read.

    A decoder of foreign input can also raise RecursionError, OverflowError or MemoryError.
    """
    try:
        return Ok(decode())
    except Exception as error:
        return Error(f"{subject} cannot be read: {error!r}")


def required_text(table: dict[str, Any], name: str) -> str:
    """Return a string; raise KeyError if it is missing, ValueError if it is empty."""
    value = table[name]
    if type(value) is not str or not value:
        raise ValueError(f"{name} is {value!r}, expected a non-empty string")
    return value


def required_number(table: dict[str, Any], name: str, least: float = 0.0) -> float:
    """Return a number from `least` to `MAX_NUMBER`; raise KeyError or ValueError without one."""
    value = table[name]
    if type(value) not in (int, float) or not least <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is {value!r}, expected a number from {least:g} to {MAX_NUMBER:g}")
    return value


def required_integer(table: dict[str, Any], name: str, least: int = 0) -> int:
    """Return an integer from `least` to `MAX_NUMBER`; raise KeyError or ValueError without one."""
    value = required_number(table, name, least)
    if type(value) is not int:
        raise ValueError(f"{name} is {value!r}, expected an integer")
    return value


def optional_number(table: dict[str, Any], name: str) -> float:
    """Return a number from 0 to `MAX_NUMBER`, 0 if it is missing; raise ValueError for others."""
    return float(required_number(table, name)) if name in table else 0.0


def optional_integer(table: dict[str, Any], name: str) -> int:
    """Return an integer from 0 to `MAX_NUMBER`, 0 if it is missing; raise ValueError for others."""
    return required_integer(table, name) if name in table else 0
