"""Snapshots of a service's library: an index version and its partition map."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """One shard of a partition map: who serves it and its share of the library."""

    name: str
    group: str
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """One index version of a service with the partition map that belongs to it."""

    service: str
    version: int
    shards: tuple[Shard, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Published:
    """All snapshots of a service that the indexer has published, newest last.

    `object_version` is the version of the platform's object `index/SERVICE`.
    """

    service: str
    object_version: int
    snapshots: tuple[Snapshot, ...]

    @property
    def newest(self) -> Snapshot:
        """The newest published snapshot."""
        return self.snapshots[-1]
