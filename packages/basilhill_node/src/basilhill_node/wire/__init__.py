"""Generated protobuf messages of the peer streams."""
