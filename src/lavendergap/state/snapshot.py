"""Snapshots of a service's library: an index version and its partition map."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """One shard of a partition map: the group that serves it and its share."""

    name: str
    group: str
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """One index version of a service with its partition map."""

    service: str
    version: int
    shards: tuple[Shard, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Published:
    """All published snapshots of a service, newest last.

    `object_version` is the version of the platform's object `index/SERVICE`.
    """

    service: str
    object_version: int
    snapshots: tuple[Snapshot, ...]

    @property
    def newest(self) -> Snapshot:
        """The newest published snapshot."""
        return self.snapshots[-1]
