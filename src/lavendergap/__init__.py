"""A query tier over many shards; the daemon and a library of coordination parts."""

__version__ = "0.1.0"
