"""Plot of a measurement run, written to an image file."""

from pathlib import Path

from expression import Error, Ok, Result

from basilhill_cli.queries.runs import MeasuredRun, recovered_at_s


def plot_run(run: MeasuredRun, output: Path) -> Result[None, str]:
    """Write a plot of goodput and recovery over time, or return an error text."""
    try:
        from matplotlib.backends.backend_agg import FigureCanvasAgg
        from matplotlib.figure import Figure
    except ImportError:
        return Error("plot needs matplotlib: pip install 'basilhill-cli[plot]'")
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    seconds = [point.second for point in run.series]
    axes.plot(seconds, [point.completed for point in run.series], label="completed")
    axes.plot(seconds, [point.refused for point in run.series], label="refused", linestyle="--")
    axes.axvspan(run.trigger_start_s, run.trigger_end_s, alpha=0.15, label="trigger")
    recovered = recovered_at_s(run)
    if recovered is not None:
        label = f"recovered {recovered - run.trigger_end_s:g} s after the trigger"
        axes.axvline(recovered, color="green", linestyle=":", label=label)
    axes.set(xlabel="second of the run", ylabel="customer actions per second")
    axes.set_title(f"{run.scenario}, mode {run.mode}")
    axes.set_ylim(bottom=0)
    axes.legend(loc="upper right")
    try:
        figure.savefig(output, dpi=120)
    except (OSError, ValueError) as error:
        return Error(f"cannot write {output}: {error}")
    return Ok(None)
