"""Decisions, state, settings and configuration document of basilhill."""
