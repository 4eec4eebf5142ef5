"""Events of a concurrent run, stored as JSON lines."""

import time
from enum import Enum
from pathlib import Path

import cattrs
import orjson
from attrs import frozen
from cattrs.gen import make_dict_unstructure_fn


class EventKind(Enum):
    """Kind of an event."""

    CALL_SENT = "call-sent"
    ANSWER_RECEIVED = "answer-received"
    RUN_STARTED = "run-started"
    RUN_ENDED = "run-ended"
    LEAVING = "leaving"
    RETURNED = "returned"
    SECTIONS = "sections"


@frozen
class Event:
    """Event of a run; its time is that of the monotonic clock, which all processes share.

    The round counts the requests that a caller makes for one order. A new token starts a new round
    of a non-idempotent call; every attempt of an idempotent call is a separate round.
    """

    time_ms: float
    kind: EventKind
    place: str
    call: str = ""
    order: str = ""
    idempotent: bool = True
    round: int = 0
    attempt: int = 0
    status: int = 0
    verdict: str = ""
    reason: str = ""
    retries: int = 0
    body_order: str = ""
    body_round: int = 0
    duration_ms: float = 0.0
    note: str = ""


CONVERTER = cattrs.Converter()
STRUCTURE = CONVERTER.get_structure_hook(Event)
UNSTRUCTURE = make_dict_unstructure_fn(Event, CONVERTER, _cattrs_omit_if_default=True)


def now_ms() -> float:
    """Return the monotonic time of the machine in milliseconds."""
    return time.monotonic_ns() / 1_000_000


class HistoryWriter:
    """Unbuffered writer of events to a file, so that a killed process loses none."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open("ab", buffering=0)

    def write(self, event: Event) -> None:
        self.file.write(orjson.dumps(UNSTRUCTURE(event)) + b"\n")


def read_history(directory: Path) -> list[Event]:
    """Return the events of all files in a directory, sorted by time."""
    events = []
    for path in sorted(directory.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            events.append(STRUCTURE(orjson.loads(line), Event))
    return sorted(events, key=lambda event: event.time_ms)
