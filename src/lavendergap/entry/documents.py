"""The platform's documents as this daemon reads them: settings and index objects."""

from ..state.settings import Service
from ..state.snapshot import Published, Shard, Snapshot

SETTINGS_PREFIX = "settings/"
INDEX_PREFIX = "index/"
DEFAULT_INDEX_VERSION = 1


def check_document(name: str, body: bytes) -> str | None:
    """Return why a document cannot be put in force, or None when it can."""
    return None


def read_index(service: str, object_version: int, body: bytes) -> Published:
    """Return the snapshots that an index object publishes."""
    raise NotImplementedError


def make_default_index(service: Service) -> Published:
    """Return what stands for an index object that nobody has written.

    One version, a shard for each group, equal shares.
    """
    share = 1 / len(service.groups)
    shards = tuple(
        Shard(name=f"s{place:02}", group=group.name, share=share)
        for place, group in enumerate(service.groups)
    )
    snapshot = Snapshot(
        service=service.name, version=DEFAULT_INDEX_VERSION, shards=shards
    )
    return Published(service=service.name, object_version=0, snapshots=(snapshot,))
