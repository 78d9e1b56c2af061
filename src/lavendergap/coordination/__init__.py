"""Decisions that hosts take together, as parts without I/O that others can embed.

Each part is a plain object: events and the present time go in, typed messages and
verdicts come out. Nothing here opens a socket, reads a clock or draws from the
global random generator, so that a test or a model walks the very steps that the
daemon takes.
"""
