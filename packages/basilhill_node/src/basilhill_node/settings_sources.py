"""Reading of node settings from a file, the environment and flags."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import fields, resolve_types
from basilhill.settings import NodeSettings, SettingsResult, normalise_settings
from expression import Error, Ok, Result

ENVIRONMENT_PREFIX = "BASILHILL_"
BOOLEAN_VALUES = {"true": True, "false": False}

resolve_types(NodeSettings)
SETTING_TYPES = {attribute.name: attribute.type for attribute in fields(NodeSettings)}


def read_settings(
    file: Path | None, environment: Mapping[str, str], flags: Mapping[str, str]
) -> SettingsResult:
    """Return the settings or all their problems.

    Flags override the environment, and the environment overrides the file.
    """
    read = read_file(file) if file is not None else Ok({})
    if read.is_error():
        return Error((read.error,))
    given = {**read.ok, **environment_values(environment)}
    given |= {name: parse_value(name, text) for name, text in flags.items()}
    return normalise_settings(given)


def read_file(file: Path) -> Result[dict[str, Any], str]:
    """Return the values of a TOML file, or the reason why it is unreadable."""
    try:
        return Ok(tomllib.loads(file.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")
    except UnicodeDecodeError as error:
        return Error(f"{file} is not UTF-8: {error.reason} at byte {error.start}")
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Error(f"{file} is not TOML: {error}")


def environment_values(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the settings from the environment, unknown names included."""
    names = {
        name: name.removeprefix(ENVIRONMENT_PREFIX).lower()
        for name in environment
        if name.startswith(ENVIRONMENT_PREFIX)
    }
    return {key: parse_value(key, environment[name]) for name, key in names.items()}


def parse_value(name: str, text: str) -> Any:
    """Return a setting's string converted to its type, or unchanged if it is invalid."""
    kind = SETTING_TYPES.get(name)
    if kind is bool:
        return BOOLEAN_VALUES.get(text.lower(), text)
    if kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            return text
    if kind not in (str, None):
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text
