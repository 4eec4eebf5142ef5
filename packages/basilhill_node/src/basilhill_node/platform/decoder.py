"""Keys of the platform's store and the decoding of their values."""

from attrs import define

from basilhill_node.platform.configuration import decode_configuration
from basilhill_node.platform.entries import decode_entry


@define
class PlatformDecoder:
    """Translate the items of the store."""

    configuration_key: str = "op/config"
    entry_prefix: str = "servers/"

    def decode_configuration(self, data: bytes):
        """Return a configuration, or what is wrong with it."""
        return decode_configuration(data)

    def decode_entry(self, server_id: str, data: bytes, now_ms: int):
        """Return the entry of a server, or why it names none."""
        return decode_entry(server_id, data, now_ms)
