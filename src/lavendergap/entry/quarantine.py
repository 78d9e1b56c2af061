"""Keeps requests under which servers ended from servers, by what all hosts saw."""

from collections.abc import Callable, Mapping

import trio

from .. import metrics
from ..coordination.contents import identify_attempt, identify_content
from ..coordination.quarantine import Quarantine
from ..logs import Category, get_logger, log_decision
from ..state.forwarding import ForwardedRequest
from ..state.outcome import NotRun, Reason, Step
from ..state.quarantine import Standing, Strike
from .adapter import StrikeStore

logger = get_logger(Category.ROUTE)

MAX_UNWRITTEN = 64
"""Writes to the store that wait at most; beyond it strikes count on this host only.

Where many servers end at once, of themselves, each request that was under way there and
failed is a write, and the store bounds all hosts' calls together.
"""

MAX_SERVERS_TOLD = 8
"""Servers named in a strike at most: they are for people, and 87 are 1 KB."""

WRITE_RETRY = 1.0
"""Seconds until a write that the store did not take is tried again."""

SWEEP_INTERVAL = 5.0
"""How often strikes are looked at for their age, in seconds."""


class QuarantineKeeper:
    """The fleet's strikes, as the store holds them, and what this host does with them.

    `announce` takes a strike to the other hosts; `sweeps` says whether this host is the
    one that drops old strikes from the store. The content of a request is worked out
    only while there are strikes, or when a server has ended under it.
    """

    def __init__(
        self,
        *,
        own_name: str,
        store: StrikeStore,
        announce: Callable[[Strike], None],
        sweeps: Callable[[], bool],
    ) -> None:
        self._own_name = own_name
        self._store = store
        self._announce = announce
        self._sweeps = sweeps
        self._quarantine = Quarantine()
        self._to_write, self._unwritten = trio.open_memory_channel[Strike | str](
            MAX_UNWRITTEN
        )

    async def run(self) -> None:
        """Write to the store what this host has to record, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            async for write in self._unwritten:
                await self._write(write)

    # What may be done with a request.

    def judge(self, request: ForwardedRequest, body: bytes) -> Standing:
        """Return what may be done with a request."""
        if self._quarantine.is_empty:
            return Standing.CLEAR
        content = identify_content(request, body)
        return self._quarantine.judge(content, now=trio.current_time())

    def refuse(self, request: ForwardedRequest, body: bytes, *, peer: str) -> NotRun:
        """Return the refusal of a request that is held back, with when that ends."""
        content = identify_content(request, body)
        left = self._quarantine.count_left(content, now=trio.current_time())
        return NotRun(
            step=Step.ADMIT,
            peer=peer,
            reason=Reason.HELD_BACK,
            retry_after_ms=int(left * 1_000),
        )

    # What became of it.

    def note_answer(self, request: ForwardedRequest, body: bytes) -> None:
        """Note that a server has answered a request: it does not end them."""
        if self._quarantine.is_empty:
            return
        content = identify_content(request, body)
        now = trio.current_time()
        if self._quarantine.judge(content, now=now) is Standing.CLEAR:
            return
        stored = self._quarantine.clear(content, now=now)
        log_decision(
            logger,
            "strikes cleared",
            request_id=request.attempt.decode("latin-1"),
            content=content,
            n_stored=len(stored),
        )
        self._count()
        for name in stored:
            self._enqueue(name)

    def note_ends(
        self,
        request: ForwardedRequest,
        body: bytes,
        *,
        servers: tuple[str, ...],
        is_trial: bool,
    ) -> None:
        """Note that `servers` ended under a request and that none answered it."""
        content = identify_content(request, body)
        now = trio.current_time()
        if self._quarantine.judge(content, now=now) is Standing.HELD:
            return
        strike = Strike(
            name=f"{content}.{identify_attempt(request)}",
            content=content,
            host=self._own_name,
            servers=servers[:MAX_SERVERS_TOLD],
            is_trial=is_trial,
        )
        is_taken = self._quarantine.add(strike, now=now)
        log_decision(
            logger,
            "strike",
            request_id=request.attempt.decode("latin-1"),
            content=content,
            n_servers=len(servers),
            servers=strike.servers,
            is_trial=is_trial,
            is_taken=is_taken,
            standing=self._quarantine.judge(content, now=now).value,
        )
        self._count()
        if is_taken:
            metrics.strikes.inc()
            self._announce(strike)
            self._enqueue(strike)

    def receive(self, strike: Strike) -> None:
        """Take a strike that another host saw; that host writes it to the store."""
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
            standing=self._quarantine.judge(strike.content, now=now).value,
        )
        self._count()

    # The store.

    def use_entries(self, entries: Mapping[str, bytes], revision: int) -> None:
        """Put in force what the store holds."""
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
                    revision=revision,
                    error=str(error),
                )
        now = trio.current_time()
        self._quarantine.replace_stored(strikes, now=now)
        self._count()
        log_decision(
            logger,
            "strikes in force",
            request_id=None,
            revision=revision,
            n_strikes=len(strikes),
            n_held=self._quarantine.count_held(now=now),
        )

    def _enqueue(self, write: Strike | str) -> None:
        try:
            self._to_write.send_nowait(write)
        except trio.WouldBlock:
            log_decision(
                logger, "strike not stored", request_id=None, why="too many at once"
            )

    async def _write(self, write: Strike | str) -> None:
        """Write until the store has taken it, for all hosts and for those to come."""
        while not await self._try_to_write(write):
            await trio.sleep(WRITE_RETRY)

    async def _try_to_write(self, write: Strike | str) -> bool:
        match write:
            case Strike(name=name) if not self._quarantine.is_unstored(name):
                return True  # Cleared meanwhile, or another write of it was taken.
            case Strike():
                return await self._store.write_strike(write)
            case str():
                return await self._store.remove_strike(write)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL)
            if self._quarantine.is_empty:
                continue
            old = self._quarantine.expire(now=trio.current_time())
            self._count()
            if self._sweeps():
                for name in old:
                    self._enqueue(name)

    def _count(self) -> None:
        now = trio.current_time()
        metrics.held_contents.set(self._quarantine.count_held(now=now))
