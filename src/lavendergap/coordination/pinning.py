"""Which snapshot a new query is pinned to: the newest that every shard can serve."""

from dataclasses import dataclass

from ..state.snapshot import Published, Snapshot

# How long a new version is withheld while a shard has not reported that it serves it.
# Answers report all versions of a server, so this limit matters only for a shard that
# gets no calls, which must not hold back new versions.
PUBLICATION_GRACE_S = 1.0
# How long until a newer version that a shard refused is tried again.
REFUSAL_RETRY_S = 1.0


@dataclass(slots=True)
class ShardVersions:
    """The known versions of one shard.

    `refused_at` holds the times at which all replicas of the shard refused a version.
    """

    served: frozenset[int]
    refused_at: dict[int, float]


class Pinning:
    """Chooses the snapshot for each new query of one service.

    A query is pinned when it starts and keeps its snapshot to the end. A version pinned
    too early costs a second round within the deadline, and one pinned too late costs
    freshness; so the newest version is chosen as soon as no shard is known to lack it.
    See docs/design/snapshots.md.

    >>> from lavendergap.state.snapshot import Shard
    >>> old, new = (
    ...     Snapshot(
    ...         service="fleet",
    ...         version=version,
    ...         shards=(Shard(name="s00", group="fleet-00", share=1.0),),
    ...     )
    ...     for version in (6, 7)
    ... )
    >>> both = Published(service="fleet", object_version=12, snapshots=(old, new))
    >>> pinning = Pinning(published=both)
    >>> pinning.choose(now=0.0).version
    7
    >>> pinning.record_refusal(shard="s00", version=7, now=0.0)
    >>> pinning.choose(now=0.1).version
    6
    >>> pinning.observe(shard="s00", versions=(6, 7), now=0.2)
    >>> pinning.choose(now=0.2).version
    7
    """

    __slots__ = ("published", "_published_at", "_known")

    def __init__(self, *, published: Published) -> None:
        self.published = published
        # Versions present at the start have no entry: they may have been published long
        # ago.
        self._published_at: dict[int, float] = {}
        self._known: dict[str, ShardVersions] = {}

    def replace(self, published: Published, *, now: float) -> None:
        """Set a newer list of snapshots; an older one that arrives late is ignored."""
        if published.object_version <= self.published.object_version:
            return
        before = {snapshot.version for snapshot in self.published.snapshots}
        self.published = published
        versions = {snapshot.version for snapshot in published.snapshots}
        for version in versions - before:
            self._published_at[version] = now
        self._forget(versions)

    def observe(self, *, shard: str, versions: tuple[int, ...], now: float) -> None:
        """Record the versions that a server of this shard reported with an answer."""
        if not versions:
            return
        known = self._get_known(shard)
        known.served = frozenset(versions)
        for version in versions:
            known.refused_at.pop(version, None)

    def record_refusal(self, *, shard: str, version: int, now: float) -> None:
        """Record that no replica of this shard served a version."""
        known = self._get_known(shard)
        known.refused_at[version] = now
        known.served -= {version}

    def choose(self, *, now: float) -> Snapshot:
        """Return the snapshot for a new query.

        If every published snapshot is known to lack a shard, the one that lacks the
        fewest is chosen, and the coverage of the answer lists the missing shards.
        """
        best = self.published.newest
        fewest = len(best.shards) + 1
        for snapshot in reversed(self.published.snapshots):
            n_lacking = self._count_lacking(snapshot, now)
            if n_lacking == 0:
                return snapshot
            if n_lacking < fewest:
                best = snapshot
                fewest = n_lacking
        return best

    def _count_lacking(self, snapshot: Snapshot, now: float) -> int:
        if not self._known:
            return 0
        return sum(
            self._is_lacking(shard.name, snapshot.version, now)
            for shard in snapshot.shards
            if shard.name in self._known
        )

    def _is_lacking(self, shard: str, version: int, now: float) -> bool:
        known = self._known[shard]
        if version in known.served:
            return False
        newest_served = max(known.served, default=0)
        refused_at = known.refused_at.get(version)
        if refused_at is not None:
            # A version older than one that the shard serves does not come back; a newer
            # one may be loaded soon.
            return version < newest_served or now < refused_at + REFUSAL_RETRY_S
        if version < newest_served:
            # Other replicas than the one that reported may still have it, so the owner
            # tries them.
            return False
        published_at = self._published_at.get(version)
        return published_at is not None and now < published_at + PUBLICATION_GRACE_S

    def _get_known(self, shard: str) -> ShardVersions:
        known = self._known.get(shard)
        if known is None:
            known = ShardVersions(served=frozenset(), refused_at={})
            self._known[shard] = known
        return known

    def _forget(self, versions: set[int]) -> None:
        """Drop the records of versions and shards that are no longer published."""
        shards = {s.name for snap in self.published.snapshots for s in snap.shards}
        self._known = {n: k for n, k in self._known.items() if n in shards}
        for known in self._known.values():
            known.served &= versions
            known.refused_at = {
                v: at for v, at in known.refused_at.items() if v in versions
            }
        self._published_at = {
            v: at for v, at in self._published_at.items() if v in versions
        }
