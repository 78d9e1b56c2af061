"""What every daemon sets for its process before it serves."""

import gc

BACKLOG = 256
"""Connections that wait to be accepted; beyond it the kernel drops them unseen."""

COLLECTOR_THRESHOLDS = (50_000, 10, 10)


def tune_collector() -> None:
    """Have Python look for reference cycles less often.

    With its own thresholds the collector walks all connections and calls many times
    a second: a leaf call costs about a tenth more (docs/design/connections.md).
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
