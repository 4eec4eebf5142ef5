"""Sidecar node for a platform whose clients and backend servers use plain HTTP."""
