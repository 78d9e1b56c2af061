"""Immutable data classes shared by all other layers, and readers of settings files."""
