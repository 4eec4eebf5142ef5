"""Reloading of the settings file without a restart."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from attrs import define, field, fields
from expression import Result

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.state import SidecarSettings

# The file may change without a SIGHUP; each check takes a few microseconds.
POLL_S = 2.0
# Settings that take effect only after a restart: identity, addresses, ports and memory of the node,
# its backend server and the store.
RESTART_ONLY = frozenset(
    (
        "node",
        "address",
        "data_centre",
        "service",
        "backend_address",
        "client_port",
        "peer_port",
        "ready_port",
        "store_address",
        "memory_mb",
    )
)


@define(eq=False)
class SettingsReloader:
    """Watcher of the settings file that changes the settings in place."""

    path: Path
    decode: Callable[[bytes], Result[SidecarSettings, str]]
    settings: SidecarSettings
    log: EventLog
    # Contents of the file from which the settings were read last.
    data: bytes
    reload_requested: asyncio.Event = field(factory=asyncio.Event)

    async def run(self) -> None:
        """Reload after a SIGHUP or when the file has changed, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_S):
                    await self.reload_requested.wait()
            except TimeoutError:
                pass
            signalled = self.reload_requested.is_set()
            self.reload_requested.clear()
            self.reload(signalled)

    def reload(self, signalled: bool) -> None:
        """Read the file and apply it; keep the active settings if it is unreadable or invalid."""
        try:
            data = self.path.read_bytes()
        except OSError as error:
            self.log.record("settings", "cannot be read", problem=repr(error))
            return
        if data == self.data and not signalled:
            return
        self.data = data
        result = self.decode(data)
        if result.is_error():
            self.log.record("settings", "refused", problem=result.error)
            return
        changed = self.changed_names(result.ok)
        for name in changed:
            if name not in RESTART_ONLY:
                setattr(self.settings, name, getattr(result.ok, name))
        self.log.record(
            "settings",
            "reloaded",
            signalled=signalled,
            changed=[name for name in changed if name not in RESTART_ONLY],
            after_restart=[name for name in changed if name in RESTART_ONLY],
        )

    def changed_names(self, read: SidecarSettings) -> list[str]:
        """Return the names of the settings that differ from the active ones."""
        names = (attribute.name for attribute in fields(SidecarSettings))
        return [name for name in names if getattr(read, name) != getattr(self.settings, name)]
