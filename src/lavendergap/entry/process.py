"""Process-wide configuration that is common to all daemons."""

import gc

BACKLOG = 256
"""Connections waiting to be accepted; the kernel drops further ones silently."""

GC_THRESHOLDS = (50_000, 10, 10)


def tune_garbage_collector() -> None:
    """Make Python's cyclic garbage collector run less often.

    With the default thresholds it traverses all connections and calls many times a
    second, which makes a call to a backend server cost about a tenth more
    (docs/design/connections.md).
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
