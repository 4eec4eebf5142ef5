"""Generated messages between nodes."""
