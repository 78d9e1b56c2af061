"""A query tier over many shards: the daemon and a coordination library."""

__version__ = "0.1.0"
