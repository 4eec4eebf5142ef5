"""Decisions, records, settings and document of basilhill."""
