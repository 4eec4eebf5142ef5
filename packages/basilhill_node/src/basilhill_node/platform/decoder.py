"""Keys of the platform's store and the decoding of their values."""

from attrs import define

from basilhill_node.platform.configuration import decode_configuration
from basilhill_node.platform.entries import decode_entry


@define
class PlatformDecoder:
    """Decoder of configurations and server entries in the platform's store."""

    configuration_key: str = "op/config"
    entry_prefix: str = "servers/"

    def decode_configuration(self, data: bytes):
        """Return a configuration, or why it is invalid."""
        return decode_configuration(data)

    def decode_entry(self, server_id: str, data: bytes, now_ms: int):
        """Return the entry of a server, or why it is invalid."""
        return decode_entry(server_id, data, now_ms)
