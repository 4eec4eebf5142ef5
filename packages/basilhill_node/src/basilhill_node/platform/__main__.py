"""Entry point of a sidecar node on the platform."""

import sys

from basilhill_node.sidecar.process_signals import defer_signals

if __name__ == "__main__":
    defer_signals()
    # The import takes most of the start, in which signals must not end the process.
    from basilhill_node.platform.program import main

    sys.exit(main())
