"""Garbage collection of a process with an event loop."""

import gc

GC_THRESHOLDS = (20_000, 50, 1_000)
"""Thresholds for `gc.set_threshold`.

The first is the number of new objects before a collection of the youngest generation,
the others are the numbers of collections of one generation before the next older one.
"""


def tune_garbage_collection() -> None:
    """Exclude the objects created at start-up from garbage collection.

    Each collection blocks the event loop, and with it all streams, so collections are
    made shorter and less frequent.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
