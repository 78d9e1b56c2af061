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
from ..coordination.advertisers import Advertisers
from ..coordination.documents import (
    Accepted,
    Documents,
    FetchDocument,
    Ignored,
    IgnoredReason,
    Source,
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
from ..transport.platform import PlatformClient
from .fleet import Fleet
from .reading import INDEX_PREFIX, MAX_RETRY_DELAY, PlatformReader

logger = logging.getLogger("lavendergap.settings")

FETCH_LIMIT = 2.0

SPOILT_TIME = 10.0
"""For how long peers are not asked for a version that they gave in a garbled form."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ActiveSettings:
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
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._random = random
        self._use_settings = use_settings
        self._use_index = use_index
        self._advertisers = Advertisers()
        self._fetching: set[str] = set()
        self._spoilt: dict[str, Spoilt] = {}
        self._has_answer = False
        self._reader = PlatformReader(
            settings_key=self._key,
            platform=platform,
            fleet=fleet,
            random=random,
            get_members=get_members,
            get_n_holders=lambda: self._settings.control.watch_holders,
            get_newest_seen=self._get_newest_seen,
            take=self._take,
            note_answer=self._note_answer,
        )

    def describe(self) -> ActiveSettings:
        """Return which settings are in force here, and what a newer one lacks."""
        held = self._documents.get(self._key)
        return ActiveSettings(
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

    async def run(self) -> None:
        """Read the platform, then watch it or, mostly, leave that to others."""
        await self._reader.run()

    def note_members(self) -> None:
        """Work out anew who holds the watches; to be called when members change."""
        self._reader.note_members()

    def _note_answer(self) -> None:
        self._has_answer = True
        self._settle()

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

    def note_advertised(self, host: str, wanted: tuple[FetchDocument, ...]) -> None:
        """Fetch from a peer what it has newer than ours."""
        for want in wanted:
            if not self._concerns_us(want.name) or self._is_spoilt(want):
                continue
            self._advertisers.note(host, want)
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
            while want := self._advertisers.take(name, self._get_newest_seen(name)):
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
            self._advertisers.forget(name)
            # Perhaps the form of a newer release; the platform has the text.
            await trio.sleep(self._random.uniform(0.0, MAX_RETRY_DELAY))
            await self._reader.read_all()
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
