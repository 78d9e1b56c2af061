"""Settings and index objects: taken from the platform or from peers, put in force.

The platform's copy is the authority. A few hosts watch it; the others learn of new
versions by gossip and fetch them from the host that told them. Whatever the way, only
a newer version is put in force.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio

from ..coordination.documents import (
    Accepted,
    Documents,
    FetchDocument,
    Ignored,
    IgnoredReason,
    Source,
)
from ..coordination.watchers import (
    WATCH_WAIT_S,
    choose_watch_holders,
    draw_read_delay,
)
from ..errors import LavendergapError
from ..logs import log_decision
from ..protocol.objects import (
    decode_index_object,
    decode_settings_object,
    make_first_index,
    make_settings_key,
    read_settings,
)
from ..protocol.peer import Document, Fetch
from ..protocol.resolved import decode_settings, encode_settings
from ..state.member import Member
from ..state.settings import Settings
from ..state.snapshot import Published
from ..transport.channel import Dialer, Loss
from ..transport.platform import (
    Found,
    Listing,
    Missing,
    NotModified,
    PlatformClient,
)
from .fleet import Fleet

logger = logging.getLogger("lavendergap.settings")

SETTINGS_PREFIX = "settings/"
INDEX_PREFIX = "index/"
FETCH_LIMIT = 2.0
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """What a process says of the settings it acts on."""

    version: int
    source: str
    problem: str | None


class DocumentKeeper:
    """Keeps this host's documents as new as the platform's or its peers' are.

    `use_settings` and `use_index` are called with each version that comes in force,
    in the order of their versions.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        documents: Documents,
        platform: PlatformClient,
        fleet: Fleet,
        dialer: Dialer,
        nursery: trio.Nursery,
        random: Random,
        get_members: Callable[[], tuple[Member, ...]],
        use_settings: Callable[[Settings], None],
        use_index: Callable[[Published], None],
    ) -> None:
        self.is_settled = False
        self._settings = settings
        self._key = make_settings_key(settings.deployment)
        self._documents = documents
        self._platform = platform
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._random = random
        self._get_members = get_members
        self._use_settings = use_settings
        self._use_index = use_index
        self._fetching: set[str] = set()

    def describe(self) -> InForce:
        """Return which settings are in force here, and what a newer one lacks."""
        held = self._documents.get(self._key)
        problem = next(
            (
                f"version {p.version}: {p.reason}"
                for p in self._documents.problems()
                if p.name == self._key
            ),
            None,
        )
        return InForce(
            version=held.version if held else 0,
            source=held.source.value if held else Source.FILE.value,
            problem=problem,
        )

    # From the platform.

    async def run(self) -> None:
        """Read the platform, then watch it or, mostly, leave that to others."""
        await self._read_until_answered()
        while True:
            if self._holds_watch():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch, SETTINGS_PREFIX)
                    nursery.start_soon(self._watch, INDEX_PREFIX)
            else:
                await self._wait_for_turn()
            await self._read_all()

    def _holds_watch(self) -> bool:
        members = self._get_members()
        holders = choose_watch_holders(members, self._settings.control.watch_holders)
        return self._fleet.own_name in holders

    async def _wait_for_turn(self) -> None:
        """Wait until this host becomes a watch holder, or its own read is due."""
        until = trio.current_time() + draw_read_delay(
            len(self._fleet.live), self._random
        )
        while trio.current_time() < until and not self._holds_watch():
            await trio.sleep(1.0)

    async def _read_until_answered(self) -> None:
        delay = MIN_RETRY_DELAY
        while not await self._read_all():
            await trio.sleep(delay * self._random.uniform(0.5, 1.5))
            delay = min(MAX_RETRY_DELAY, 2 * delay)

    async def _read_all(self) -> bool:
        """Read what is newer than ours; tell whether the platform answered."""
        settings = await self._platform.list_objects(self._key)
        index = await self._platform.list_objects(INDEX_PREFIX)
        if not isinstance(settings, Listing) or not isinstance(index, Listing):
            return False
        await self._take_listing(settings)
        await self._take_listing(index)
        self.is_settled = True
        return True

    async def _watch(self, prefix: str) -> None:
        """Watch a prefix for as long as this host is one of the watch holders."""
        listing = await self._platform.list_objects(prefix)
        after = listing.revision if isinstance(listing, Listing) else 0
        if isinstance(listing, Listing):
            await self._take_listing(listing)
        while self._holds_watch():
            news = await self._platform.watch_prefix(
                prefix, after=after, wait_s=WATCH_WAIT_S
            )
            match news:
                case Listing(revision=revision):
                    await self._take_listing(news)
                    after = max(after, revision)
                case NotModified():
                    pass
                case _:
                    await trio.sleep(MIN_RETRY_DELAY + self._random.random())

    async def _take_listing(self, listing: Listing) -> None:
        for entry in listing.objects:
            if not self._concerns_us(entry.key):
                continue
            held = self._documents.get(entry.key)
            if held is not None and held.version >= entry.version:
                continue
            found = await self._platform.get(entry.key)
            match found:
                case Found(key=key, version=version, value=value):
                    self._offer_platform(key, version, value)
                case Missing():
                    pass

    def _concerns_us(self, key: str) -> bool:
        return key == self._key or key.startswith(INDEX_PREFIX)

    def _offer_platform(self, key: str, version: int, value: bytes) -> None:
        held = self._documents.get(key)
        if held is not None and held.version >= version:
            return
        body = value
        if key == self._key:
            # Peers get the checked and resolved form, which they read fast. A text
            # that cannot be resolved is offered as it is, to be refused and named.
            try:
                body = encode_settings(resolve_settings(value, key, version))
            except LavendergapError:
                body = value
        self._offer(key, version, body, Source.PLATFORM)

    # From peers.

    def hear(self, host: str, wanted: tuple[FetchDocument, ...]) -> None:
        """Fetch from a peer what it has newer than ours."""
        for want in wanted:
            if want.name not in self._fetching and self._concerns_us(want.name):
                self._fetching.add(want.name)
                self._nursery.start_soon(self._fetch, host, want)

    async def _fetch(self, host: str, want: FetchDocument) -> None:
        try:
            address = self._fleet.get_address(host)
            if address is None:
                return
            channel = await self._dialer.dial(host, address)
            if isinstance(channel, Loss):
                return
            reply = await channel.ask(
                Fetch(name=want.name, at_least=want.at_least), limit=FETCH_LIMIT
            )
            if isinstance(reply, Document) and reply.version >= want.at_least:
                self._offer(reply.name, reply.version, reply.body, Source.PEER)
        finally:
            self._fetching.discard(want.name)

    # In force.

    def _offer(self, name: str, version: int, body: bytes, source: Source) -> None:
        result = self._documents.offer(name, version, body, source)
        match result:
            case Accepted():
                self._put_in_force(name, version, body, source)
            case Ignored(reason=IgnoredReason.REFUSED, detail=detail):
                log_decision(
                    logger,
                    "refused",
                    request_id=None,
                    level=logging.ERROR,
                    document=name,
                    version=version,
                    source=source.value,
                    problem=detail,
                )

    def _put_in_force(
        self, name: str, version: int, body: bytes, source: Source
    ) -> None:
        if name == self._key:
            self._settings = decode_settings(body)
            self.is_settled = True
            self._use_settings(self._settings)
        else:
            service = name.removeprefix(INDEX_PREFIX)
            self._use_index(decode_index_object(body, service=service, version=version))
        log_decision(
            logger,
            "in force",
            request_id=None,
            document=name,
            version=version,
            source=source.value,
        )

    def get_published(self, settings: Settings) -> list[Published]:
        """Return each service's published snapshots, or what stands for them."""
        published = []
        for service in settings.services:
            held = self._documents.get(INDEX_PREFIX + service.name)
            if held is None:
                published.append(make_first_index(service))
            else:
                published.append(
                    decode_index_object(
                        held.body, service=service.name, version=held.version
                    )
                )
        return published


def resolve_settings(value: bytes, key: str, version: int) -> Settings:
    """Return the settings in the platform's object, checked in full."""
    stored = decode_settings_object(value, key=key)
    return read_settings(stored, key=key, version=version)


def check_document(name: str, body: bytes) -> str | None:
    """Return why a document cannot be put in force, or None when it can."""
    try:
        if name.startswith(INDEX_PREFIX):
            service = name.removeprefix(INDEX_PREFIX)
            decode_index_object(body, service=service, version=0)
        elif body.startswith(b"{"):
            resolve_settings(body, name, 0)
        else:
            decode_settings(body)
    except LavendergapError as error:
        return str(error)
    return None
