"""Reads and watches the platform.

The few watch holders receive each change. The other hosts list the versions from time
to time, in case the holders are partitioned.
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
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 5.0

MAX_WATCH_RETRY_DELAY_S = 1.5
"""Maximum delay of a watch holder's retry; after an outage, it delays edits as well."""


class PlatformReader:
    """Reads objects that are newer on the platform than on this host.

    `apply_object` activates an object and returns whether it could be read;
    `get_newest_seen` returns the newest version of an object that needs no reading;
    `on_settings_read` is called after the platform's settings have been read.
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
        apply_object: Callable[[str, int, bytes], bool],
        on_settings_read: Callable[[], None],
    ) -> None:
        self._key = settings_key
        self._platform = platform
        self._fleet = fleet
        self._random = random
        self._get_members = get_members
        self._get_n_holders = get_n_holders
        self._get_newest_seen = get_newest_seen
        self._apply_object = apply_object
        self._on_settings_read = on_settings_read
        self._holders: tuple[str, ...] | None = None
        self._holders_changed = trio.Event()

    async def run(self) -> None:
        """Read the platform, then watch it while this host is a watch holder."""
        n_failures = 0
        while not await self.read_all():
            n_failures += 1
            await self._back_off(n_failures, limit=MAX_RETRY_DELAY_S)
        while True:
            if self._holds_watch():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_settings)
                    nursery.start_soon(self._watch_index)
            else:
                await self._wait_for_watch_or_read()
            await self.read_all()

    def handle_member_change(self) -> None:
        """Choose the watch holders again; to be called when members change."""
        self._holders = None
        self._holders_changed.set()

    def _holds_watch(self) -> bool:
        # Cached until members change, since ranking 550 takes a millisecond.
        if self._holders is None:
            self._holders = choose_watch_holders(
                self._get_members(), self._get_n_holders()
            )
        return self._fleet.own_name in self._holders

    async def _wait_for_watch_or_read(self) -> None:
        """Wait until this host becomes a watch holder, or its own read is due."""
        delay = draw_read_delay(len(self._fleet.live), self._random)
        with trio.move_on_after(delay):
            while not self._holds_watch():
                self._holders_changed = trio.Event()
                await self._holders_changed.wait()

    async def _back_off(
        self, n_failures: int, *, limit: float, answer: object = None
    ) -> None:
        """Wait before the next attempt, longer after each failure."""
        delay = min(limit, MIN_RETRY_DELAY_S * 2 ** min(n_failures, 10))
        delay *= self._random.uniform(0.5, 1.5)
        if isinstance(answer, Unavailable):
            delay = max(delay, answer.retry_after_s)
        await trio.sleep(delay)

    async def read_all(self) -> bool:
        """Read newer objects; return whether the platform's settings were read."""
        settings = await self._platform.list_objects(self._key)
        index = await self._platform.list_objects(INDEX_PREFIX)
        if not isinstance(settings, Listing) or not isinstance(index, Listing):
            return False
        is_whole = await self._apply_listing(settings)
        await self._apply_listing(index)
        if is_whole:
            self._on_settings_read()
        return is_whole

    async def _watch_settings(self) -> None:
        """Watch the settings while this host is one of the watch holders.

        The watch returns the text itself. With a second call to read it, an outage
        between the two would withhold an accepted edit from all hosts.
        """
        n_failures = 0
        while self._holds_watch():
            after = self._get_newest_seen(self._key)
            answer = await self._platform.watch(
                self._key, after=after, wait_s=WATCH_WAIT_S
            )
            match answer:
                case Found(version=version, value=value) if version > after:
                    is_ok = self._apply_object(self._key, version, value)
                case NotModified():
                    is_ok = True
                case _:
                    is_ok = False
            n_failures = 0 if is_ok else n_failures + 1
            if n_failures:
                await self._back_off(
                    n_failures, limit=MAX_WATCH_RETRY_DELAY_S, answer=answer
                )

    async def _watch_index(self) -> None:
        """Watch the index objects while this host is one of the watch holders.

        The revision to watch from advances only after all objects of a listing were
        read; otherwise the watch would never return an unread one again.
        """
        n_failures = 0
        after = 0
        while self._holds_watch():
            answer = await self._platform.watch_prefix(
                INDEX_PREFIX, after=after, wait_s=WATCH_WAIT_S
            )
            match answer:
                case Listing(revision=revision):
                    is_ok = await self._apply_listing(answer) and revision > after
                    after = revision if is_ok else after
                case NotModified():
                    is_ok = True
                case _:
                    is_ok = False
            n_failures = 0 if is_ok else n_failures + 1
            if n_failures:
                await self._back_off(
                    n_failures, limit=MAX_WATCH_RETRY_DELAY_S, answer=answer
                )

    async def _apply_listing(self, listing: Listing) -> bool:
        """Read the newer objects of a listing; return whether none is left to be read.

        A read from a replica that lags behind the listing leaves the object unread.
        """
        is_whole = True
        for entry in listing.objects:
            if entry.key != self._key and not entry.key.startswith(INDEX_PREFIX):
                continue
            if entry.version <= self._get_newest_seen(entry.key):
                continue
            match await self._platform.get(entry.key):
                case Found(version=version, value=value):
                    is_taken = self._apply_object(entry.key, version, value)
                    is_whole &= is_taken and version >= entry.version
                case _:
                    is_whole = False
        return is_whole
