"""Reads and watches of the platform, by the few hosts that watch it and by the others.

A watch holder is told of each change; all others list the versions now and then, as a
net for when the holders are cut off. What is read goes to `take`.
"""

from collections.abc import Callable
from random import Random

import trio

from ..coordination.watchers import (
    WATCH_WAIT_S,
    choose_watch_holders,
    draw_read_delay,
)
from ..state.member import Member
from ..transport.platform import (
    Found,
    Listing,
    NotModified,
    PlatformClient,
    Unavailable,
)
from .fleet import Fleet

INDEX_PREFIX = "index/"
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 5.0

MAX_WATCH_RETRY_DELAY = 1.5
"""Of the few watch holders; part of the time that an edit takes after an outage."""


class PlatformReader:
    """Brings what the platform has newer than this host.

    `take` puts an object in force and tells whether it could be read;
    `get_newest_seen` returns the version beyond which an object is news;
    `note_answer` is called when the platform has told what the settings are.
    """

    def __init__(
        self,
        *,
        settings_key: str,
        platform: PlatformClient,
        fleet: Fleet,
        random: Random,
        get_members: Callable[[], tuple[Member, ...]],
        get_n_holders: Callable[[], int],
        get_newest_seen: Callable[[str], int],
        take: Callable[[str, int, bytes], bool],
        note_answer: Callable[[], None],
    ) -> None:
        self._key = settings_key
        self._platform = platform
        self._fleet = fleet
        self._random = random
        self._get_members = get_members
        self._get_n_holders = get_n_holders
        self._get_newest_seen = get_newest_seen
        self._take = take
        self._note_answer = note_answer
        self._holders: tuple[str, ...] | None = None
        self._holders_changed = trio.Event()

    async def run(self) -> None:
        """Read the platform, then watch it or, mostly, leave that to others."""
        n_failures = 0
        while not await self.read_all():
            n_failures += 1
            await self._pause(n_failures, limit=MAX_RETRY_DELAY)
        while True:
            if self._holds_watch():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_settings)
                    nursery.start_soon(self._watch_index)
            else:
                await self._wait_for_turn()
            await self.read_all()

    def note_members(self) -> None:
        """Work out anew who holds the watches; to be called when members change."""
        self._holders = None
        self._holders_changed.set()

    def _holds_watch(self) -> bool:
        # Ranking 550 members takes a millisecond, so it is not done without need.
        if self._holders is None:
            self._holders = choose_watch_holders(
                self._get_members(), self._get_n_holders()
            )
        return self._fleet.own_name in self._holders

    async def _wait_for_turn(self) -> None:
        """Wait until this host becomes a watch holder, or its own read is due."""
        delay = draw_read_delay(len(self._fleet.live), self._random)
        with trio.move_on_after(delay):
            while not self._holds_watch():
                self._holders_changed = trio.Event()
                await self._holders_changed.wait()

    async def _pause(
        self, n_failures: int, *, limit: float, answer: object = None
    ) -> None:
        """Wait before the platform is tried again, longer with each failure."""
        delay = min(limit, MIN_RETRY_DELAY * 2 ** min(n_failures, 10))
        delay *= self._random.uniform(0.5, 1.5)
        if isinstance(answer, Unavailable):
            delay = max(delay, answer.retry_after_s)
        await trio.sleep(delay)

    async def read_all(self) -> bool:
        """Read what is newer than ours; tell whether the settings are known now."""
        settings = await self._platform.list_objects(self._key)
        index = await self._platform.list_objects(INDEX_PREFIX)
        if not isinstance(settings, Listing) or not isinstance(index, Listing):
            return False
        is_whole = await self._take_listing(settings)
        await self._take_listing(index)
        if is_whole:
            self._note_answer()
        return is_whole

    async def _watch_settings(self) -> None:
        """Watch the settings for as long as this host is one of the watch holders.

        The watch brings the text itself. Were it read with a second call, an outage
        between the two would keep an accepted edit from everyone until its end.
        """
        n_failures = 0
        while self._holds_watch():
            after = self._get_newest_seen(self._key)
            answer = await self._platform.watch(
                self._key, after=after, wait_s=WATCH_WAIT_S
            )
            match answer:
                case Found(version=version, value=value) if version > after:
                    is_good = self._take(self._key, version, value)
                case NotModified():
                    is_good = True
                case _:
                    is_good = False
            n_failures = 0 if is_good else n_failures + 1
            if n_failures:
                await self._pause(
                    n_failures, limit=MAX_WATCH_RETRY_DELAY, answer=answer
                )

    async def _watch_index(self) -> None:
        """Watch the index objects for as long as this host is a watch holder.

        The revision to watch from moves on only once all of a listing is taken:
        moved on before a body was read, the watch would never tell of it again.
        """
        n_failures = 0
        after = 0
        while self._holds_watch():
            answer = await self._platform.watch_prefix(
                INDEX_PREFIX, after=after, wait_s=WATCH_WAIT_S
            )
            match answer:
                case Listing(revision=revision):
                    is_good = await self._take_listing(answer) and revision > after
                    after = revision if is_good else after
                case NotModified():
                    is_good = True
                case _:
                    is_good = False
            n_failures = 0 if is_good else n_failures + 1
            if n_failures:
                await self._pause(
                    n_failures, limit=MAX_WATCH_RETRY_DELAY, answer=answer
                )

    async def _take_listing(self, listing: Listing) -> bool:
        """Read what is newer than ours; tell whether nothing is left to be read.

        A read may come from a copy that lags behind the list; then it is left.
        """
        is_whole = True
        for entry in listing.objects:
            if entry.key != self._key and not entry.key.startswith(INDEX_PREFIX):
                continue
            if entry.version <= self._get_newest_seen(entry.key):
                continue
            match await self._platform.get(entry.key):
                case Found(version=version, value=value):
                    is_taken = self._take(entry.key, version, value)
                    is_whole &= is_taken and version >= entry.version
                case _:
                    is_whole = False
        return is_whole
