"""Reads settings and index objects from the platform or peers and activates them.

The platform's copy is authoritative. A few hosts watch it; the others receive new
version numbers by gossip and fetch the documents from the hosts that advertise them.
Only a newer version is ever activated.
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
    make_default_index,
    make_settings_key,
    read_settings,
)
from ..protocol.resolved import decode_settings, encode_settings
from ..state.member import Member
from ..state.settings import Settings
from ..state.snapshot import Published
from ..transport.channel import LossReason
from ..transport.dialer import Dialer
from ..transport.platform import PlatformClient
from .fleet import Fleet
from .platformreader import INDEX_PREFIX, MAX_RETRY_DELAY_S, PlatformReader

logger = logging.getLogger("lavendergap.settings")

FETCH_TIMEOUT_S = 2.0

UNREADABLE_RETRY_S = 10.0
"""Delay before peers are asked again for a version they sent in unreadable form."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ActiveSettings:
    """The active settings, and the problem of a newer version if there is one."""

    version: int
    source: str
    problem: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableVersion:
    """A version that was received in unreadable form; a later attempt may succeed."""

    version: int
    reason: str
    source: Source
    until: float


class DocumentKeeper:
    """Keeps this host's documents up to date with those of the platform and its peers.

    `use_settings` and `use_index` are called with each version that is activated, in
    the order of versions.
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
        self.is_ready = False
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
        self._unreadable: dict[str, UnreadableVersion] = {}
        self._has_settings = False
        self._reader = PlatformReader(
            settings_key=self._key,
            platform=platform,
            fleet=fleet,
            random=random,
            get_members=get_members,
            get_n_holders=lambda: self._settings.control.watch_holders,
            get_newest_seen=self._get_newest_seen,
            apply_object=self._apply_platform_object,
            on_settings_read=self._record_settings_read,
        )

    def describe(self) -> ActiveSettings:
        """Return the version and source of the active settings."""
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
        unreadable = self._unreadable.get(self._key)
        if unreadable is not None:
            return f"version {unreadable.version}: {unreadable.reason}"
        return None

    async def run(self) -> None:
        """Read the platform, then watch it if this host is a watch holder."""
        await self._reader.run()

    def handle_member_change(self) -> None:
        """Choose the watch holders again; to be called when members change."""
        self._reader.handle_member_change()

    def _record_settings_read(self) -> None:
        self._has_settings = True
        self._update_readiness()

    def _is_relevant(self, key: str) -> bool:
        return key == self._key or key.startswith(INDEX_PREFIX)

    def _get_newest_seen(self, name: str) -> int:
        """Return the newest version that was activated or refused here, or 0."""
        held = self._documents.get(name)
        seen = [p.version for p in self._documents.problems() if p.name == name]
        return max([*seen, held.version if held else 0])

    def _apply_platform_object(self, key: str, version: int, value: bytes) -> bool:
        """Activate the platform's object; return whether it could be read.

        An invalid settings text is refused permanently and reported. Other errors may
        come from the transfer, so the version is read again later or from a peer;
        refused permanently, an accepted edit might never become active here.
        """
        if version <= self._get_newest_seen(key):
            return True
        body = value
        try:
            if key == self._key:
                # Peers get the checked and resolved form, which is fast to read.
                body = encode_settings(resolve_settings(value, key, version))
            else:
                _decode_index(key, value, version)
        except SettingsError:
            pass
        except ObjectError as error:
            self._record_unreadable(key, version, Source.PLATFORM, error.problem)
            return False
        self._offer(key, version, body, Source.PLATFORM)
        return True

    def _record_unreadable(
        self, name: str, version: int, source: Source, reason: str
    ) -> None:
        metrics.rejected_input.labels(source.value, "garbled document").inc()
        until = trio.current_time() + UNREADABLE_RETRY_S
        self._unreadable[name] = UnreadableVersion(
            version=version, reason=reason, source=source, until=until
        )
        _log_refusal(name, version, source, reason)

    # From peers.

    def handle_advertisement(
        self, host: str, wanted: tuple[FetchDocument, ...]
    ) -> None:
        """Fetch documents that a peer advertises in newer versions than ours."""
        for want in wanted:
            if not self._is_relevant(want.name) or self._is_known_unreadable(want):
                continue
            self._advertisers.add(host, want)
            if want.name not in self._fetching:
                self._fetching.add(want.name)
                self._nursery.start_soon(self._fetch, want.name)

    def _is_known_unreadable(self, want: FetchDocument) -> bool:
        """Return whether a peer recently sent this version in unreadable form.

        During an upgrade a host cannot read the form that newer releases send, and
        would fetch the whole document from them again with every gossip datagram.
        """
        unreadable = self._unreadable.get(want.name)
        if unreadable is None or unreadable.source is not Source.PEER:
            return False
        return (
            want.at_least <= unreadable.version
            and trio.current_time() < unreadable.until
        )

    async def _fetch(self, name: str) -> None:
        """Fetch a document from the hosts that advertise it, one after the other.

        The first one may have failed since; if only that one were asked, its silent
        channel would delay the newest version for seconds.
        """
        try:
            while want := self._advertisers.take(name, self._get_newest_seen(name)):
                document = await self._ask(want.host, name, want.at_least)
                if document is not None:
                    await self._apply_peer_document(document)
        finally:
            self._fetching.discard(name)
            self._update_readiness()

    async def _ask(self, host: str, name: str, at_least: int) -> Document | None:
        address = self._fleet.get_address(host)
        if address is None:
            return None
        channel = await self._dialer.dial(host, address)
        if isinstance(channel, LossReason):
            return None
        fetch = Fetch(name=name, at_least=at_least)
        reply = await channel.ask(fetch, limit=FETCH_TIMEOUT_S)
        if isinstance(reply, Document) and reply.name == name:
            return reply if reply.version >= at_least else None
        return None

    async def _apply_peer_document(self, document: Document) -> None:
        name, version = document.name, document.version
        if version <= self._get_newest_seen(name):
            return
        try:
            _decode(name, document.body, version)
        except ObjectError as error:
            self._record_unreadable(name, version, Source.PEER, error.problem)
            self._advertisers.forget(name)
            # It may be in the form of a newer release; the platform has the text.
            await trio.sleep(self._random.uniform(0.0, MAX_RETRY_DELAY_S))
            await self._reader.read_all()
            return
        self._offer(name, version, document.body, Source.PEER)

    # Activation.

    def _offer(self, name: str, version: int, body: bytes, source: Source) -> None:
        result = self._documents.offer(name, version, body, source)
        match result:
            case Accepted():
                self._activate(name, version, body, source)
            case Ignored(reason=IgnoredReason.REFUSED, detail=detail):
                _log_refusal(name, version, source, detail)

    def _activate(self, name: str, version: int, body: bytes, source: Source) -> None:
        unreadable = self._unreadable.get(name)
        if unreadable is not None and (
            unreadable.version <= version or source is Source.PLATFORM
        ):
            del self._unreadable[name]
        match _decode(name, body, version):
            case Settings() as settings:
                self._settings = settings
                self._has_settings = True
                self.handle_member_change()
                self._use_settings(settings)
            case Published() as published:
                self._use_index(published)
        log_decision(
            logger,
            "document activated",
            request_id=None,
            document=name,
            version=version,
            source=source.value,
        )
        self._update_readiness()

    def _update_readiness(self) -> None:
        """Set `is_ready` once requests may be served with the active settings.

        The platform may have answered from a lagging replica while a peer advertises a
        newer version. Serving before that one is fetched, a host that has just started
        would use settings that have been replaced everywhere else.
        """
        if self._has_settings and self._key not in self._fetching:
            self.is_ready = True

    def get_published(self, settings: Settings) -> list[Published]:
        """Return each service's published snapshots, or its initial ones."""
        published = []
        for service in settings.services:
            name = INDEX_PREFIX + service.name
            held = self._documents.get(name)
            if held is None:
                published.append(make_default_index(service))
            else:
                published.append(_decode_index(name, held.body, held.version))
        return published


def _log_refusal(name: str, version: int, source: Source, problem: str) -> None:
    log_decision(
        logger,
        "document refused",
        request_id=None,
        level=logging.ERROR,
        document=name,
        version=version,
        source=source.value,
        problem=problem,
    )


def resolve_settings(value: bytes, key: str, version: int) -> Settings:
    """Return the settings in the platform's object after complete validation."""
    stored = decode_settings_object(value, key=key)
    return read_settings(stored, key=key, version=version)


def _decode_index(name: str, body: bytes, version: int) -> Published:
    service = name.removeprefix(INDEX_PREFIX)
    return decode_index_object(body, service=service, version=version)


def _decode(name: str, body: bytes, version: int) -> Settings | Published:
    """Return the contents of a document in the form that hosts exchange."""
    if name.startswith(INDEX_PREFIX):
        return _decode_index(name, body, version)
    return decode_settings(body)


def check_document(name: str, body: bytes) -> str | None:
    """Return why a document cannot be activated, or None when it can.

    Settings that could not be resolved are in the form of the platform's object; the
    problem then names the places in the text.
    """
    try:
        if not name.startswith(INDEX_PREFIX) and body.startswith(b"{"):
            resolve_settings(body, name, 0)
            return "expected the resolved form"
        _decode(name, body, 0)
    except (SettingsError, ObjectError) as error:
        return str(error)
    return None
