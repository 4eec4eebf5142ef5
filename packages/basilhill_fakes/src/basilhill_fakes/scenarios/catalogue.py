"""All scenarios by name."""

from basilhill_fakes.scenarios import Scenario
from basilhill_fakes.scenarios.overhead import Overhead
from basilhill_fakes.scenarios.storm import Storm

SCENARIOS: dict[str, Scenario] = {scenario.name: scenario for scenario in (Storm(), Overhead())}
