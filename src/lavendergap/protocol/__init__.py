"""Typed messages, their codecs, and readers of external formats; no I/O."""
