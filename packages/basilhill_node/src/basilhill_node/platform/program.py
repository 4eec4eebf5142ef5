"""Program of a sidecar node on the platform."""

import os
import sys
from pathlib import Path

import uvloop
from basilhill.clocks import SystemClock

from basilhill_node.logs import start_logging
from basilhill_node.platform.decoder import PlatformDecoder
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.settings import decode_settings
from basilhill_node.platform.store import PlatformStore
from basilhill_node.sidecar.allocator import return_large_blocks
from basilhill_node.sidecar.commands.reload_settings import SettingsReloader
from basilhill_node.sidecar.event_log import encode_json_line
from basilhill_node.sidecar.node import build_sidecar, run_sidecar

SETTINGS_VARIABLE = "BASILHILL_CONFIG"
EXIT_UNUSABLE = 2


async def run(path: Path, data: bytes) -> int:
    """Run a node until it receives SIGTERM or SIGINT; return the exit status."""
    settings = decode_settings(data)
    if settings.is_error():
        print(f"basilhill: {settings.error}", file=sys.stderr)
        return EXIT_UNUSABLE
    start_logging(encode_json_line)
    clock = SystemClock()
    store = PlatformStore.at(settings.ok.store_address, clock)
    node = build_sidecar(settings.ok, store, PlatformDecoder(), PlatformDialect(), clock)
    reloader = SettingsReloader(path, decode_settings, settings.ok, node.state.log, data)
    await run_sidecar(node, reloader)
    return 0


def main() -> int:
    """Read the settings file and run the node; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"basilhill: {SETTINGS_VARIABLE} must name a settings file", file=sys.stderr)
        return EXIT_UNUSABLE
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        print(f"basilhill: cannot read the settings file: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return_large_blocks()
    return uvloop.run(run(Path(path), data))
