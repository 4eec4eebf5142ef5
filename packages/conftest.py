"""Imports that must not happen while pytest reports failures."""

# The plugin of hypothesis imports it for its summary, which parses source code; see
# tools/run_tests.py.
import hypothesis  # noqa: F401
