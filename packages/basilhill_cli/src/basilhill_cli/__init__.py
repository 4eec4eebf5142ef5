"""Command-line tool for basilhill operators."""
