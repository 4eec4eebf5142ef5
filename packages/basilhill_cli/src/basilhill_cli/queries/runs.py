"""Read the file of a measurement run."""

import json
from pathlib import Path

import cattrs
from attrs import frozen
from cattrs import transform_error
from expression import Error, Ok, Result

# Goodput counts as recovered at this part of what it was before the trigger.
RECOVERED = 0.9


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


def recovered_s(run: MeasuredRun) -> float | None:
    """Return the second from which goodput is back to stay, None if it is not or not known."""
    before = [point.completed for point in run.series if point.second < run.trigger_start_s]
    if not before:
        return None
    wanted = RECOVERED * sum(before) / len(before)
    after = [point for point in run.series if point.second >= run.trigger_end_s]
    low = [point.second for point in after if point.completed < wanted]
    back = [point.second for point in after if not low or point.second > max(low)]
    return min(back, default=None)
