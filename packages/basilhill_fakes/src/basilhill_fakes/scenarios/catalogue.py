"""Scenarios by name."""

from basilhill_fakes.scenarios import Scenario
from basilhill_fakes.scenarios.config_race import ConfigRace
from basilhill_fakes.scenarios.crash_request import CrashRequest
from basilhill_fakes.scenarios.drain import Drain
from basilhill_fakes.scenarios.overhead import Overhead
from basilhill_fakes.scenarios.partition import Partition
from basilhill_fakes.scenarios.pause import Pause
from basilhill_fakes.scenarios.platform_down import PlatformDown
from basilhill_fakes.scenarios.storm import Storm

ALL: tuple[Scenario, ...] = (
    Storm(),
    Drain(),
    CrashRequest(),
    Partition(),
    Pause(),
    PlatformDown(),
    ConfigRace(),
    Overhead(),
)
SCENARIOS: dict[str, Scenario] = {scenario.name: scenario for scenario in ALL}
