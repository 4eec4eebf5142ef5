"""Parsing and evaluation of measurement runs."""

import json
from pathlib import Path

import cattrs
from attrs import frozen
from cattrs import transform_error
from expression import Error, Ok, Result

# Goodput counts as recovered at this ratio of the mean before the trigger.
RECOVERED_RATIO = 0.9


@frozen
class Second:
    """Rates of completed and refused customer actions in one second of a run."""

    second: float
    completed: float
    refused: float


@frozen
class MeasuredRun:
    """Time series of a measurement run, with the time range of the trigger."""

    series: list[Second]
    trigger_start_s: float
    trigger_end_s: float
    scenario: str
    mode: str


def read_run(file: Path) -> Result[MeasuredRun, str]:
    """Return a measurement run, or an error text if its file is not valid."""
    try:
        run = cattrs.structure(json.loads(file.read_text(encoding="utf-8")), MeasuredRun)
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")
    except ValueError as error:
        return Error(f"{file} is not JSON: {error}")
    except cattrs.BaseValidationError as error:
        return Error(f"{file} is not a measurement run: {'; '.join(transform_error(error))}")
    return Ok(run) if run.series else Error(f"{file} has an empty series")


def recovered_at_s(run: MeasuredRun) -> float | None:
    """Return the second from which goodput stays recovered.

    Return None if goodput does not recover, or if the run has no data before the trigger.
    """
    before = [point.completed for point in run.series if point.second < run.trigger_start_s]
    if not before:
        return None
    threshold = RECOVERED_RATIO * sum(before) / len(before)
    after = [point for point in run.series if point.second >= run.trigger_end_s]
    low = [point.second for point in after if point.completed < threshold]
    recovered = [point.second for point in after if not low or point.second > max(low)]
    return min(recovered, default=None)
