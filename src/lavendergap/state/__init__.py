"""Frozen data that every other layer speaks of; no I/O and no clocks."""
