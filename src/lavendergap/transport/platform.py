"""A client of the platform's object API; every call ends within its time limit."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from ..state.outcome import Reason, Step
from ..state.settings import Address
from .exchange import Exchange, Lost, Reply

PEER = "platform"
DEFAULT_LIMIT_S = 2.0
MAX_RETRY_AFTER_S = 60.0

_MAX_MESSAGE_BYTES = 200
_ETAG = re.compile(r'"([0-9]{1,18})"')


@dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """The value of an object and its version."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """The write took effect and made this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NotModified:
    """Nothing newer came within the time of the watch."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Missing:
    """There is no such object."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """The write's condition does not hold; `version` is the present one, if any."""

    version: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The platform will never take this call; a mistake of ours, or a full store."""

    status: int
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """No usable answer within the time limit.

    `sent` tells whether the request may have taken effect, now or later: a write
    then has to be resolved by reading the object back. The platform's own 429 says
    that it did not. `retry_after_s` is its word on when to come back, or 0.
    """

    step: Step
    reason: Reason
    sent: bool
    peer: str = PEER
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectVersion:
    """An object in a list."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Objects under a prefix, and the revision to watch from."""

    revision: int
    objects: tuple[ObjectVersion, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host in the platform's lagging list; `state` is "live" or "leaving"."""

    name: str
    peers: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HostList:
    """The platform's lagging list of hosts: a hint of whom to try, no more."""

    hosts: tuple[ListedHost, ...]


_Decoded = TypeVar("_Decoded")
_LOST = (Reason.SILENT_CONNECTION, Reason.LOST_CONNECTION)
_SPOILT = Unavailable(step=Step.CHECK, reason=Reason.WRONG_ANSWER, sent=True)


class PlatformClient:
    """Calls the platform at `address`; no call outlasts `limit_s` seconds.

    A watch has its own waiting time beside the limit. Reads whose connection is
    lost or silent are tried once more on a fresh one. Watches are not: their callers
    call again anyway. Writes never are, since only the caller can tell whether the
    first one took effect.

        async with PlatformClient(address=settings.platform) as client:
            match await client.get("settings/cedarlight"):
                case Found(version=version): ...
                case Missing() | Refused() | Unavailable(): ...
    """

    def __init__(self, *, address: Address, limit_s: float = DEFAULT_LIMIT_S) -> None:
        self.limit_s = limit_s
        self._exchange = Exchange(address=address)

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._exchange.aclose()

    async def get(self, key: str) -> Found | Missing | Refused | Unavailable:
        """Read an object. A read may be stale: compare versions before acting."""
        reply = await self._read(_make_path(key))
        match reply:
            case Reply(status=HTTPStatus.OK):
                return _read_object(key, reply)
            case Reply(status=HTTPStatus.NOT_FOUND):
                return Missing(key=key)
        return _explain(reply)

    async def put(
        self, key: str, value: bytes, *, base: int | None
    ) -> Stored | Conflict | Refused | Unavailable:
        """Write an object if it is still at version `base`; None: if there is none."""
        headers = {"Content-Type": "application/json"}
        if base is None:
            headers["If-None-Match"] = "*"
        else:
            headers["If-Match"] = f'"{base}"'
        reply = await self._exchange.call(
            "PUT", _make_path(key), limit_s=self.limit_s, headers=headers, body=value
        )
        match reply:
            case Reply(status=HTTPStatus.OK):
                version = _parse_version(reply)
                return _SPOILT if version is None else Stored(version=version)
            case Reply(status=HTTPStatus.PRECONDITION_FAILED):
                return Conflict(version=_parse_version(reply))
        return _explain(reply)

    async def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Found | NotModified | Missing | Refused | Unavailable:
        """Wait up to `wait_s` seconds for a version over `after`."""
        path = _make_path(key, after=after, wait_ms=round(wait_s * 1_000))
        reply = await self._exchange.call("GET", path, limit_s=wait_s + self.limit_s)
        match reply:
            case Reply(status=HTTPStatus.OK):
                return _read_object(key, reply)
            case Reply(status=HTTPStatus.NOT_FOUND):
                return Missing(key=key)
            case Reply(status=HTTPStatus.NOT_MODIFIED):
                return NotModified()
        return _explain(reply)

    async def list_objects(self, prefix: str) -> Listing | Refused | Unavailable:
        """List the objects whose keys start with `prefix`."""
        reply = await self._read(f"/objects?{urlencode({'prefix': prefix})}")
        return _decode(reply, Listing)

    async def watch_prefix(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Listing | NotModified | Refused | Unavailable:
        """Wait up to `wait_s` seconds for changes under `prefix` after a revision."""
        wait_ms = round(wait_s * 1_000)
        query = urlencode({"prefix": prefix, "after": after, "wait_ms": wait_ms})
        path = f"/objects?{query}"
        reply = await self._exchange.call("GET", path, limit_s=wait_s + self.limit_s)
        match reply:
            case Reply(status=HTTPStatus.NOT_MODIFIED):
                return NotModified()
        return _decode(reply, Listing)

    async def list_hosts(self) -> HostList | Refused | Unavailable:
        """Read the platform's lagging list of hosts."""
        return _decode(await self._read("/hosts"), HostList)

    async def _read(self, path: str) -> Reply | Lost:
        """Read `path`, a second time on a fresh connection if the first is lost.

        The first try is the one that meets a kept connection gone silent, so it has
        half of the limit; a second on a fresh connection answers in time.
        """
        limit_s = self.limit_s / 2
        reply = await self._exchange.call("GET", path, limit_s=limit_s)
        if isinstance(reply, Lost) and reply.reason in _LOST:
            reply = await self._exchange.call("GET", path, limit_s=limit_s)
        return reply


def _make_path(key: str, **options: int) -> str:
    query = f"?{urlencode(options)}" if options else ""
    return f"/objects/{quote(key)}{query}"


def _explain(reply: Reply | Lost) -> Refused | Unavailable:
    match reply:
        case Lost(step=step, reason=reason, sent=sent):
            return Unavailable(step=step, reason=reason, sent=sent)
        case Reply(status=HTTPStatus.TOO_MANY_REQUESTS):
            return _come_back(reply, Reason.OVERLOADED, sent=False)
        case Reply(status=status) if _is_outage(status):
            return _come_back(reply, Reason.SERVER_ERROR, sent=True)
    message = ascii(reply.body[:_MAX_MESSAGE_BYTES].decode("utf-8", "replace"))
    return Refused(status=reply.status, message=message)


def _is_outage(status: int) -> bool:
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR and (
        status != HTTPStatus.INSUFFICIENT_STORAGE
    )


def _come_back(reply: Reply, reason: Reason, *, sent: bool) -> Unavailable:
    """Read a 429 or a 5xx; the latter may come from between us and the store."""
    text = reply.headers.get("retry-after", "")
    is_number = text.isascii() and text.isdigit()
    after_s = min(float(text[:9]), MAX_RETRY_AFTER_S) if is_number else 0.0
    return Unavailable(
        step=Step.RECEIVE, reason=reason, sent=sent, retry_after_s=after_s
    )


def _read_object(key: str, reply: Reply) -> Found | Unavailable:
    version = _parse_version(reply)
    if version is None:
        return _SPOILT
    return Found(key=key, version=version, value=reply.body)


def _parse_version(reply: Reply) -> int | None:
    found = _ETAG.fullmatch(reply.headers.get("etag", ""))
    return int(found.group(1)) if found else None


def _decode(
    reply: Reply | Lost, kind: type[_Decoded]
) -> _Decoded | Refused | Unavailable:
    if not isinstance(reply, Reply) or reply.status != HTTPStatus.OK:
        return _explain(reply)
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return _SPOILT
