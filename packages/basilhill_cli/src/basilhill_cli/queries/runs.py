"""Read the file of a measurement run."""

import json
from pathlib import Path

import cattrs
from attrs import frozen
from cattrs import transform_error
from expression import Error, Ok, Result


@frozen
class Second:
    """Hold what came of the customer actions of one second."""

    second: float
    completed: float
    refused: float


@frozen
class MeasuredRun:
    """Hold a measurement run over time."""

    series: list[Second]
    trigger_start_s: float
    trigger_end_s: float
    scenario: str
    mode: str


def read_run(file: Path) -> Result[MeasuredRun, str]:
    """Return a measurement run, or why its file cannot be read."""
    try:
        run = cattrs.structure(json.loads(file.read_text(encoding="utf-8")), MeasuredRun)
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")
    except ValueError as error:
        return Error(f"{file} is not JSON: {error}")
    except cattrs.BaseValidationError as error:
        return Error(f"{file} is not a measurement run: {'; '.join(transform_error(error))}")
    return Ok(run) if run.series else Error(f"{file} has an empty series")
