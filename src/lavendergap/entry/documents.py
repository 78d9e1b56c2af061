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

from .. import metrics
from ..coordination.documents import (
    Accepted,
    Documents,
    FetchDocument,
    Ignored,
    IgnoredReason,
    Source,
)
from ..coordination.tellers import Tellers
from ..coordination.watchers import (
    WATCH_WAIT_S,
    choose_watch_holders,
    draw_read_delay,
)
from ..errors import ObjectError, SettingsError
from ..logs import log_decision
from ..protocol.messages import Document, Fetch
from ..protocol.objects import (
    decode_index_object,
    decode_settings_object,
    make_first_index,
    make_settings_key,
    read_settings,
)
from ..protocol.resolved import decode_settings, encode_settings
from ..state.member import Member
from ..state.settings import Settings
from ..state.snapshot import Published
from ..transport.channel import Loss
from ..transport.dialer import Dialer
from ..transport.platform import (
    Found,
    Listing,
    NotModified,
    PlatformClient,
    Unavailable,
)
from .fleet import Fleet

logger = logging.getLogger("lavendergap.settings")

INDEX_PREFIX = "index/"
FETCH_LIMIT = 2.0
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 5.0

MAX_WATCH_RETRY_DELAY = 1.5
"""Of the few watch holders; part of the time that an edit takes after an outage."""

SPOILT_TIME = 10.0
"""For how long peers are not asked for a version that they gave in a garbled form."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """What a process says of the settings it acts on."""

    version: int
    source: str
    problem: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Spoilt:
    """A version that came garbled; it is asked for again, since it may be good."""

    version: int
    reason: str
    source: Source
    until: float


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
        self._tellers = Tellers()
        self._fetching: set[str] = set()
        self._spoilt: dict[str, Spoilt] = {}
        self._holders: tuple[str, ...] | None = None
        self._holders_changed = trio.Event()
        self._has_answer = False

    def describe(self) -> InForce:
        """Return which settings are in force here, and what a newer one lacks."""
        held = self._documents.get(self._key)
        return InForce(
            version=held.version if held else 0,
            source=held.source.value if held else Source.FILE.value,
            problem=self._describe_problem(),
        )

    def _describe_problem(self) -> str | None:
        for problem in self._documents.problems():
            if problem.name == self._key:
                return f"version {problem.version}: {problem.reason}"
        spoilt = self._spoilt.get(self._key)
        if spoilt is not None:
            return f"version {spoilt.version}: {spoilt.reason}"
        return None

    # From the platform.

    async def run(self) -> None:
        """Read the platform, then watch it or, mostly, leave that to others."""
        n_failures = 0
        while not await self._read_all():
            n_failures += 1
            await self._pause(n_failures, limit=MAX_RETRY_DELAY)
        while True:
            if self._holds_watch():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_settings)
                    nursery.start_soon(self._watch_index)
            else:
                await self._wait_for_turn()
            await self._read_all()

    def note_members(self) -> None:
        """Work out anew who holds the watches; to be called when members change."""
        self._holders = None
        self._holders_changed.set()

    def _holds_watch(self) -> bool:
        # Ranking 550 members takes a millisecond, so it is not done without need.
        if self._holders is None:
            self._holders = choose_watch_holders(
                self._get_members(), self._settings.control.watch_holders
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

    async def _read_all(self) -> bool:
        """Read what is newer than ours; tell whether the settings are known now."""
        settings = await self._platform.list_objects(self._key)
        index = await self._platform.list_objects(INDEX_PREFIX)
        if not isinstance(settings, Listing) or not isinstance(index, Listing):
            return False
        is_whole = await self._take_listing(settings)
        await self._take_listing(index)
        if is_whole:
            self._has_answer = True
            self._settle()
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
            if not self._concerns_us(entry.key):
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

    def _concerns_us(self, key: str) -> bool:
        return key == self._key or key.startswith(INDEX_PREFIX)

    def _get_newest_seen(self, name: str) -> int:
        """Return the newest version in force or refused here, 0 for none."""
        held = self._documents.get(name)
        seen = [p.version for p in self._documents.problems() if p.name == name]
        return max([*seen, held.version if held else 0])

    def _take(self, key: str, version: int, value: bytes) -> bool:
        """Put the platform's object in force; tell whether it could be read.

        A text that an operator got wrong reads the same wherever it comes from: it
        is refused for good and named. Anything else that is not as it should be may
        be the way's fault, and the same version good at the next try or at a peer;
        refused for good, the accepted edit would never come in force here.
        """
        if version <= self._get_newest_seen(key):
            return True
        body = value
        try:
            if key == self._key:
                # Peers get the checked and resolved form, which they read fast.
                body = encode_settings(resolve_settings(value, key, version))
            else:
                _decode_index(key, value, version)
        except SettingsError:
            pass
        except ObjectError as error:
            self._spoil(key, version, Source.PLATFORM, error.problem)
            return False
        self._offer(key, version, body, Source.PLATFORM)
        return True

    def _spoil(self, name: str, version: int, source: Source, reason: str) -> None:
        metrics.rejected_input.labels(source.value, "garbled document").inc()
        until = trio.current_time() + SPOILT_TIME
        self._spoilt[name] = Spoilt(
            version=version, reason=reason, source=source, until=until
        )
        _log_refusal(name, version, source, reason)

    # From peers.

    def hear(self, host: str, wanted: tuple[FetchDocument, ...]) -> None:
        """Fetch from a peer what it has newer than ours."""
        for want in wanted:
            if not self._concerns_us(want.name) or self._is_spoilt(want):
                continue
            self._tellers.hear(host, want)
            if want.name not in self._fetching:
                self._fetching.add(want.name)
                self._nursery.start_soon(self._fetch, want.name)

    def _is_spoilt(self, want: FetchDocument) -> bool:
        """Tell whether peers gave this version garbled a moment ago.

        A host that was not yet replaced cannot read what newer ones hand out; it
        would fetch the whole from each of them with every datagram, in vain.
        """
        spoilt = self._spoilt.get(want.name)
        if spoilt is None or spoilt.source is not Source.PEER:
            return False
        return want.at_least <= spoilt.version and trio.current_time() < spoilt.until

    async def _fetch(self, name: str) -> None:
        """Ask those who told of something newer, one after the other.

        Whoever told first may have died since. Were only the one asked, a channel
        that went silent would hold the newest version up for seconds.
        """
        try:
            while want := self._tellers.take(name, self._get_newest_seen(name)):
                document = await self._ask(want.host, name, want.at_least)
                if document is not None:
                    await self._take_from_peer(document)
        finally:
            self._fetching.discard(name)
            self._settle()

    async def _ask(self, host: str, name: str, at_least: int) -> Document | None:
        address = self._fleet.get_address(host)
        if address is None:
            return None
        channel = await self._dialer.dial(host, address)
        if isinstance(channel, Loss):
            return None
        fetch = Fetch(name=name, at_least=at_least)
        reply = await channel.ask(fetch, limit=FETCH_LIMIT)
        if isinstance(reply, Document) and reply.name == name:
            return reply if reply.version >= at_least else None
        return None

    async def _take_from_peer(self, document: Document) -> None:
        name, version = document.name, document.version
        if version <= self._get_newest_seen(name):
            return
        try:
            _decode(name, document.body, version)
        except ObjectError as error:
            self._spoil(name, version, Source.PEER, error.problem)
            self._tellers.forget(name)
            # Perhaps the form of a newer release; the platform has the text.
            await trio.sleep(self._random.uniform(0.0, MAX_RETRY_DELAY))
            await self._read_all()
            return
        self._offer(name, version, document.body, Source.PEER)

    # In force.

    def _offer(self, name: str, version: int, body: bytes, source: Source) -> None:
        result = self._documents.offer(name, version, body, source)
        match result:
            case Accepted():
                self._put_in_force(name, version, body, source)
            case Ignored(reason=IgnoredReason.REFUSED, detail=detail):
                _log_refusal(name, version, source, detail)

    def _put_in_force(
        self, name: str, version: int, body: bytes, source: Source
    ) -> None:
        spoilt = self._spoilt.get(name)
        if spoilt is not None and (
            spoilt.version <= version or source is Source.PLATFORM
        ):
            del self._spoilt[name]
        match _decode(name, body, version):
            case Settings() as settings:
                self._settings = settings
                self._has_answer = True
                self.note_members()
                self._use_settings(settings)
            case Published() as published:
                self._use_index(published)
        log_decision(
            logger,
            "in force",
            request_id=None,
            document=name,
            version=version,
            source=source.value,
        )
        self._settle()

    def _settle(self) -> None:
        """Note that the settings known here may be served by.

        The platform may have answered from a copy that lags, while a peer has told
        of a newer version: until that is fetched, a host just started would serve
        by settings that were replaced everywhere else.
        """
        if self._has_answer and self._key not in self._fetching:
            self.is_settled = True

    def get_published(self, settings: Settings) -> list[Published]:
        """Return each service's published snapshots, or what stands for them."""
        published = []
        for service in settings.services:
            name = INDEX_PREFIX + service.name
            held = self._documents.get(name)
            if held is None:
                published.append(make_first_index(service))
            else:
                published.append(_decode_index(name, held.body, held.version))
        return published


def _log_refusal(name: str, version: int, source: Source, problem: str) -> None:
    log_decision(
        logger,
        "refused",
        request_id=None,
        level=logging.ERROR,
        document=name,
        version=version,
        source=source.value,
        problem=problem,
    )


def resolve_settings(value: bytes, key: str, version: int) -> Settings:
    """Return the settings in the platform's object, checked in full."""
    stored = decode_settings_object(value, key=key)
    return read_settings(stored, key=key, version=version)


def _decode_index(name: str, body: bytes, version: int) -> Published:
    service = name.removeprefix(INDEX_PREFIX)
    return decode_index_object(body, service=service, version=version)


def _decode(name: str, body: bytes, version: int) -> Settings | Published:
    """Return what a document says in the form that hosts hand to each other."""
    if name.startswith(INDEX_PREFIX):
        return _decode_index(name, body, version)
    return decode_settings(body)


def check_document(name: str, body: bytes) -> str | None:
    """Return why a document cannot be put in force, or None when it can.

    A text that could not be resolved comes as the platform's object; the complaint
    then names the places in the text.
    """
    try:
        if not name.startswith(INDEX_PREFIX) and body.startswith(b"{"):
            resolve_settings(body, name, 0)
            return "expected the resolved form"
        _decode(name, body, 0)
    except (SettingsError, ObjectError) as error:
        return str(error)
    return None
