"""Holds back requests that crash servers, as recorded by all hosts."""

from collections.abc import Callable, Mapping

import trio

from .. import metrics
from ..coordination.contentids import identify_attempt, identify_content
from ..coordination.quarantine import Quarantine
from ..logs import Category, get_logger, log_decision
from ..state.feeds import StorePosition
from ..state.forwarding import ForwardedRequest
from ..state.outcome import NotRun, Reason, Step
from ..state.quarantine import Standing, Strike
from .adapter import StrikeStore

logger = get_logger(Category.ROUTE)

MAX_QUEUED_WRITES = 64
"""Queued writes to the store; beyond it, strikes are not stored for other hosts.

If many servers stop at once for another reason, each request that failed on them is a
write, and the store limits the rate of all hosts' calls together.
"""

MAX_SERVERS_LISTED = 8
"""Servers listed in a strike; the list is for operators only, and 87 would be 1 KB."""

WRITE_RETRY_S = 1.0
"""Delay before a failed write to the store is retried."""

SWEEP_INTERVAL_S = 5.0
"""Interval at which expired strikes are dropped and lost ones written again."""


class RequestQuarantine:
    """The strikes of all hosts, and whether requests are held back by them.

    A strike records servers that crashed during a request. `announce` sends it to other
    hosts; `is_sweeper` returns whether this host is the one that removes expired
    strikes from the store. A request's content id is computed only while there are
    strikes, or when a server has crashed on the request.
    """

    def __init__(
        self,
        *,
        own_name: str,
        store: StrikeStore,
        announce: Callable[[Strike], None],
        is_sweeper: Callable[[], bool],
    ) -> None:
        self._own_name = own_name
        self._store = store
        self._announce = announce
        self._is_sweeper = is_sweeper
        self._quarantine = Quarantine()
        self._to_write, self._unwritten = trio.open_memory_channel[Strike | str](
            MAX_QUEUED_WRITES
        )

    async def run(self) -> None:
        """Write this host's changes to the store, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            async for write in self._unwritten:
                await self._write(write)

    # Decisions on requests.

    def get_standing(self, request: ForwardedRequest, body: bytes) -> Standing:
        """Return whether a request is clear, suspect or held back."""
        if self._quarantine.is_empty:
            return Standing.CLEAR
        content = identify_content(request, body)
        return self._quarantine.get_standing(content, now=trio.current_time())

    def refuse(self, request: ForwardedRequest, body: bytes, *, peer: str) -> NotRun:
        """Return the refusal of a request held back, with the time until it may run."""
        content = identify_content(request, body)
        left = self._quarantine.get_hold_left_s(content, now=trio.current_time())
        return NotRun(
            step=Step.ADMIT,
            peer=peer,
            reason=Reason.HELD_BACK,
            retry_after_ms=int(left * 1_000),
        )

    # Results of requests.

    def record_answer(self, request: ForwardedRequest, body: bytes) -> None:
        """Record that a server answered a request, and clear its strikes."""
        if self._quarantine.is_empty:
            return
        content = identify_content(request, body)
        now = trio.current_time()
        if self._quarantine.get_standing(content, now=now) is Standing.CLEAR:
            return
        stored = self._quarantine.clear(content, now=now)
        log_decision(
            logger,
            "strikes cleared",
            request_id=request.attempt.decode("latin-1"),
            content=content,
            n_stored=len(stored),
        )
        self._update_gauge()
        for name in stored:
            self._enqueue(name)

    def record_crashes(
        self,
        request: ForwardedRequest,
        body: bytes,
        *,
        servers: tuple[str, ...],
        is_trial: bool,
    ) -> None:
        """Record that `servers` crashed on a request and that none answered it."""
        content = identify_content(request, body)
        now = trio.current_time()
        if self._quarantine.get_standing(content, now=now) is Standing.HELD:
            return
        strike = Strike(
            name=f"{content}.{identify_attempt(request)}",
            content=content,
            host=self._own_name,
            servers=servers[:MAX_SERVERS_LISTED],
            is_trial=is_trial,
        )
        is_new = self._quarantine.add(strike, now=now)
        log_decision(
            logger,
            "strike",
            request_id=request.attempt.decode("latin-1"),
            content=content,
            n_servers=len(servers),
            servers=strike.servers,
            is_trial=is_trial,
            is_new=is_new,
            standing=self._quarantine.get_standing(content, now=now).value,
        )
        self._update_gauge()
        if is_new:
            metrics.strikes.inc()
            self._announce(strike)
            self._enqueue(strike)

    def receive(self, strike: Strike) -> None:
        """Add a strike from another host, which writes it to the store itself."""
        now = trio.current_time()
        if not self._quarantine.add(strike, now=now):
            return
        log_decision(
            logger,
            "strike received",
            request_id=None,
            content=strike.content,
            seen_by=strike.host,
            is_trial=strike.is_trial,
            standing=self._quarantine.get_standing(strike.content, now=now).value,
        )
        self._update_gauge()

    # The store.

    def apply_entries(
        self, entries: Mapping[str, bytes], position: StorePosition
    ) -> None:
        """Apply the strikes in the store."""
        strikes = []
        for name, body in entries.items():
            try:
                strikes.append(self._store.read_strike(name, body))
            except ValueError as error:
                log_decision(
                    logger,
                    "strike entry refused",
                    request_id=None,
                    entry=name,
                    revision=position.revision,
                    epoch=position.epoch,
                    error=str(error),
                )
        now = trio.current_time()
        undone = self._quarantine.replace_stored(strikes, now=now, epoch=position.epoch)
        for name in undone:
            self._enqueue(name)
        self._update_gauge()
        log_decision(
            logger,
            "strikes in force",
            request_id=None,
            revision=position.revision,
            epoch=position.epoch,
            n_strikes=len(strikes),
            n_held=self._quarantine.count_held(now=now),
            n_unstored=len(self._quarantine.list_unstored(now=now, min_age_s=0.0)),
            n_removed_again=len(undone),
        )

    def _enqueue(self, write: Strike | str) -> None:
        try:
            self._to_write.send_nowait(write)
        except trio.WouldBlock:
            log_decision(
                logger, "strike not stored", request_id=None, why="too many at once"
            )

    async def _write(self, write: Strike | str) -> None:
        """Retry a write until the store has accepted it."""
        while not await self._try_to_write(write):
            await trio.sleep(WRITE_RETRY_S)

    async def _try_to_write(self, write: Strike | str) -> bool:
        match write:
            case Strike(name=name) if not self._quarantine.is_unstored(name):
                return True  # Cleared meanwhile, or stored by another write.
            case Strike():
                return await self._store.write_strike(write)
            case str():
                return await self._store.remove_strike(write)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            if self._quarantine.is_empty:
                continue
            old = self._quarantine.expire(now=trio.current_time())
            self._update_gauge()
            if self._is_sweeper():
                for name in old:
                    self._enqueue(name)
                self._write_unstored()

    def _write_unstored(self) -> None:
        """Write strikes that the store lacks, for hosts that start later.

        The host that recorded one may have failed before it was written, and a store
        that was restored from an older copy has lost it.
        """
        if self._to_write.statistics().current_buffer_used:
            return
        unstored = self._quarantine.list_unstored(
            now=trio.current_time(), min_age_s=SWEEP_INTERVAL_S
        )
        for strike in unstored[: MAX_QUEUED_WRITES // 2]:
            self._enqueue(strike)

    def _update_gauge(self) -> None:
        now = trio.current_time()
        metrics.held_contents.set(self._quarantine.count_held(now=now))
