"""All checks of the history of a run."""

from attrs import frozen
from basilhill.documents import Section
from basilhill.queries.documents import parse_section, split_sections

from basilhill_fakes.history import Event
from basilhill_fakes.queries.fleets import find_version_regressions, late_work
from basilhill_fakes.queries.histories import (
    Violation,
    double_runs,
    excess_retries,
    false_refusals,
    retries_by_request,
    wrong_answers,
)
from basilhill_fakes.queries.refusals import class_inversions
from basilhill_fakes.workloads import Workload


@frozen
class CheckResults:
    """Violations by check, and the highest number of retries of one action."""

    double_runs: list[Violation]
    false_refusals: list[Violation]
    wrong_answers: list[Violation]
    class_inversions: list[Violation]
    excess_retries: list[Violation]
    late_work: list[Violation]
    version_regressions: list[Violation]
    retries_per_action_max: int

    def violations(self) -> list[Violation]:
        return [
            *self.double_runs,
            *self.false_refusals,
            *self.wrong_answers,
            *self.excess_retries,
            *self.late_work,
            *self.version_regressions,
            *self.class_inversions,
        ]

    def fields(self) -> dict[str, int]:
        """Return the violation counts as result fields of a measurement."""
        return {
            "double_runs": len(self.double_runs),
            "false_refusals": len(self.false_refusals),
            "wrong_answers": len(self.wrong_answers),
            "class_inversions": len(self.class_inversions),
            "excess_retries": len(self.excess_retries),
            "late_work": len(self.late_work),
            "fallen_versions": len(self.version_regressions),
            "retries_per_action_max": self.retries_per_action_max,
        }


def evaluate_history(events: list[Event], workload: Workload, document: str) -> CheckResults:
    """Run all checks; events must be sorted by time."""
    return CheckResults(
        double_runs(events),
        false_refusals(events),
        wrong_answers(events),
        class_inversions(events, workload),
        excess_retries(events, allowed_retries(split_sections(document, 1))),
        late_work(events),
        find_version_regressions(events),
        max(retries_by_request(events).values(), default=0),
    )


def allowed_retries(sections: tuple[Section, ...]) -> dict[str, int]:
    """Return the retries that a document allows, by the entry call of each action."""
    policies = (parse_section(section).ok for section in sections)
    actions = (action for policy in policies for action in policy.actions.values())
    return {action.entry: action.retries for action in actions}
