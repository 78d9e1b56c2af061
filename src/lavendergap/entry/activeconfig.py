"""The active routes, servers and evacuations of a gateway host."""

import time
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import lru_cache

from .. import metrics
from ..coordination.drains import DrainMemory
from ..coordination.routing import RouteIndex
from ..coordination.starts import StartMemory
from ..logs import Category, get_logger, log_decision
from ..state.feeds import StorePosition
from ..state.registry import RefusedEntry, RegisteredServer
from .adapter import Adapter

logger = get_logger(Category.SETTINGS)


MAX_CACHED_SERVERS = 4_096
"""Size of the cache of parsed registry entries: the current and some earlier ones.

Every change of the feed reads all entries again: to hash them, to compare them with the
previous ones and to use them.
"""


class ActiveConfig:
    """The parsed contents of the feeds; `apply` is called after each change.

    Invalid or older routes are ignored and the current ones stay active, so that a
    lagging copy or a restored store never reverts an operator's edit. An invalid server
    or evacuation entry is skipped. `data_centres` are those that may be evacuated;
    empty means any.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        apply: Callable[[], None],
        data_centres: Collection[str] = (),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.index: RouteIndex | None = None
        self.servers: tuple[RegisteredServer, ...] = ()
        self.evacuated: frozenset[str] = frozenset()
        self._data_centres = data_centres
        self._refused_evacuations: set[str] = set()
        self.read_server = lru_cache(maxsize=MAX_CACHED_SERVERS)(self._read_server)
        self._refused: set[str] = set()
        self._drains = DrainMemory()
        self._starts = StartMemory()
        self._listed: Sequence[RegisteredServer] = ()
        self._position = StorePosition()
        self._ignored_starts: set[str] = set()
        self._clock = clock
        self._kept_draining: set[str] = set()
        self._adapter = adapter
        self._apply = apply

    def use_routes(self, entries: Mapping[str, bytes], position: StorePosition) -> None:
        """Activate the routes in a feed's entries if their version is newer."""
        try:
            table = self._adapter.read_routes(entries)
        except ValueError as error:
            log_decision(
                logger,
                "routes refused",
                request_id=None,
                revision=position.revision,
                epoch=position.epoch,
                error=str(error),
            )
            return
        before = self.index.table.version if self.index else 0
        if table is None:
            return
        if self.index and table.version <= before:
            if table.version < before:
                log_decision(
                    logger,
                    "routes ignored",
                    request_id=None,
                    version=table.version,
                    active=before,
                    revision=position.revision,
                    epoch=position.epoch,
                )
            return
        self.index = RouteIndex(table=table)
        metrics.settings_version.set(table.version)
        log_decision(
            logger,
            "routes activated",
            request_id=None,
            version=table.version,
            before=before,
            revision=position.revision,
            epoch=position.epoch,
            n_routes=len(table.routes),
        )
        self._apply()

    def use_servers(
        self, entries: Mapping[str, bytes], position: StorePosition
    ) -> None:
        """Activate the servers in a feed's entries."""
        servers = []
        refused = set()
        for name, body in entries.items():
            match self.read_server(name, body):
                case RegisteredServer() as server:
                    servers.append(server)
                case RefusedEntry(problem=problem):
                    refused.add(name)
                    if name not in self._refused:
                        _log_refused("server entry refused", name, position, problem)
        self._refused = refused
        self._use_listed(servers, position)

    def check_earlier_starts(self) -> None:
        """Use entries of earlier starts that were ignored for long enough."""
        if self._clock() >= self._starts.next_due():
            self._use_listed(self._listed, self._position)

    def _use_listed(
        self, listed: Sequence[RegisteredServer], position: StorePosition
    ) -> None:
        self._listed, self._position = listed, position
        epoch = position.epoch
        current = self._starts.apply(listed, epoch=epoch, now=self._clock())
        self._log_ignored_starts(current, position)
        self.servers = self._drains.apply(current, epoch=epoch)
        self._log_kept_draining(current, position)
        self._apply()

    def _log_ignored_starts(
        self, current: Sequence[RegisteredServer], position: StorePosition
    ) -> None:
        """Log once for which servers an entry of an earlier start is ignored."""
        ignored = {
            entry.server_id: (entry, server)
            for server, entry in zip(current, self._listed, strict=True)
            if server is not entry
        }
        for server_id in sorted(ignored.keys() - self._ignored_starts):
            entry, server = ignored[server_id]
            log_decision(
                logger,
                "earlier start ignored",
                request_id=None,
                server=server_id,
                started_at_ms=entry.started_at_ms,
                current_started_at_ms=server.started_at_ms,
                revision=position.revision,
                epoch=position.epoch,
            )
        self._ignored_starts = set(ignored)

    def _log_kept_draining(
        self, listed: Sequence[RegisteredServer], position: StorePosition
    ) -> None:
        """Log once which servers the store shows as ready although they drained."""
        kept = {
            server.server_id
            for server, entry in zip(self.servers, listed, strict=True)
            if server.is_draining and not entry.is_draining
        }
        for server_id in sorted(kept - self._kept_draining):
            log_decision(
                logger,
                "server kept draining",
                request_id=None,
                server=server_id,
                revision=position.revision,
                epoch=position.epoch,
            )
        self._kept_draining = kept

    def use_evacuations(
        self, entries: Mapping[str, bytes], position: StorePosition
    ) -> None:
        """Activate the evacuations in a feed's entries."""
        evacuated = set()
        refused = set()
        for name, body in entries.items():
            try:
                evacuated.add(self._read_evacuation(name, body))
            except ValueError as error:
                refused.add(name)
                if name not in self._refused_evacuations:
                    _log_refused("evacuation entry refused", name, position, str(error))
        self._refused_evacuations = refused
        before, self.evacuated = self.evacuated, frozenset(evacuated)
        for data_centre in sorted(self.evacuated - before):
            self._log_evacuation("evacuation started", data_centre, position)
        for data_centre in sorted(before - self.evacuated):
            self._log_evacuation("evacuation ended", data_centre, position)
        metrics.evacuated_data_centres.set(len(self.evacuated))
        self._apply()

    def _read_evacuation(self, name: str, body: bytes) -> str:
        data_centre = self._adapter.read_evacuation(name, body)
        if self._data_centres and data_centre not in self._data_centres:
            raise ValueError("expected the name of a data centre")
        return data_centre

    def _log_evacuation(
        self, event: str, data_centre: str, position: StorePosition
    ) -> None:
        n_servers = sum(each.data_centre == data_centre for each in self.servers)
        log_decision(
            logger,
            event,
            request_id=None,
            data_centre=data_centre,
            revision=position.revision,
            epoch=position.epoch,
            n_servers=n_servers,
        )

    def summarize_server(self, name: str, body: bytes) -> object:
        """Return the part of an entry that is compared to detect a change.

        All refused entries have the same summary. Otherwise a server that writes
        changing invalid entries would cause an announcement to all hosts for each.
        """
        match self.read_server(name, body):
            case RegisteredServer() as server:
                return server
            case RefusedEntry():
                return RefusedEntry.__name__

    def _read_server(self, name: str, body: bytes) -> RegisteredServer | RefusedEntry:
        try:
            return self._adapter.read_server(name, body)
        except ValueError as error:
            return RefusedEntry(problem=str(error))


def _log_refused(event: str, entry: str, position: StorePosition, problem: str) -> None:
    log_decision(
        logger,
        event,
        request_id=None,
        entry=entry,
        revision=position.revision,
        epoch=position.epoch,
        error=problem,
    )
