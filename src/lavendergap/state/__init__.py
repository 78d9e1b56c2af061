"""Immutable data classes shared by all other layers; no I/O and no clocks."""
