"""A client of the platform's object API; every call has a timeout."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

from ..protocol.jsontext import decode_json
from ..state.outcome import Reason, Step
from ..state.settings import Address
from .httpclient import FailedCall, HttpClient, HttpReply

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
    """The watch ended without a newer version."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Missing:
    """There is no such object."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """The write's condition is not met; `version` is the current one, if any."""

    version: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The platform rejects the call for good: an invalid request or a full store."""

    status: int
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """No usable answer within the time limit.

    `sent` is whether the request may have taken effect or may still do so. After
    such a write, the caller has to read the object back. A 429 from the platform
    means that the request took no effect. `retry_after_s` is the delay from the
    answer's Retry-After header, or 0.
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
    """The objects under a prefix, and the revision to watch from."""

    revision: int
    objects: tuple[ObjectVersion, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host in the platform's list; `state` is "live" or "leaving"."""

    name: str
    peers: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HostList:
    """The platform's list of hosts, which may be stale; only hints of hosts to try."""

    hosts: tuple[ListedHost, ...]


_Decoded = TypeVar("_Decoded")
_RETRIED_REASONS = (Reason.SILENT_CONNECTION, Reason.LOST_CONNECTION)
_INVALID_ANSWER = Unavailable(step=Step.CHECK, reason=Reason.WRONG_ANSWER, sent=True)


class PlatformClient:
    """Calls the platform at `address`; each call ends within `limit_s` seconds.

    A watch may take its waiting time in addition. Reads are retried once on a new
    connection if theirs was lost or silent. Watches are not retried, since their
    callers repeat them. Writes are not retried either: the caller has to find out
    whether the first one took effect.

        async with PlatformClient(address=settings.platform) as client:
            match await client.get("settings/cedarlight"):
                case Found(version=version): ...
                case Missing() | Refused() | Unavailable(): ...
    """

    def __init__(self, *, address: Address, limit_s: float = DEFAULT_LIMIT_S) -> None:
        self.limit_s = limit_s
        self._client = HttpClient(address=address)

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> Found | Missing | Refused | Unavailable:
        """Read an object. The result may be stale: compare versions before using it."""
        reply = await self._read(_make_path(key))
        match reply:
            case HttpReply(status=HTTPStatus.OK):
                return _read_object(key, reply)
            case HttpReply(status=HTTPStatus.NOT_FOUND):
                return Missing(key=key)
        return _classify_failure(reply)

    async def put(
        self, key: str, value: bytes, *, base: int | None
    ) -> Stored | Conflict | Refused | Unavailable:
        """Write an object if it is at version `base`; None if it must not exist."""
        headers = {"Content-Type": "application/json"}
        if base is None:
            headers["If-None-Match"] = "*"
        else:
            headers["If-Match"] = f'"{base}"'
        reply = await self._client.call(
            "PUT", _make_path(key), limit_s=self.limit_s, headers=headers, body=value
        )
        match reply:
            case HttpReply(status=HTTPStatus.OK):
                version = _parse_version(reply)
                return _INVALID_ANSWER if version is None else Stored(version=version)
            case HttpReply(status=HTTPStatus.PRECONDITION_FAILED):
                return Conflict(version=_parse_version(reply))
        return _classify_failure(reply)

    async def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Found | NotModified | Missing | Refused | Unavailable:
        """Wait up to `wait_s` seconds for a version greater than `after`."""
        path = _make_path(key, after=after, wait_ms=round(wait_s * 1_000))
        reply = await self._client.call("GET", path, limit_s=wait_s + self.limit_s)
        match reply:
            case HttpReply(status=HTTPStatus.OK):
                return _read_object(key, reply)
            case HttpReply(status=HTTPStatus.NOT_FOUND):
                return Missing(key=key)
            case HttpReply(status=HTTPStatus.NOT_MODIFIED):
                return NotModified()
        return _classify_failure(reply)

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
        reply = await self._client.call("GET", path, limit_s=wait_s + self.limit_s)
        match reply:
            case HttpReply(status=HTTPStatus.NOT_MODIFIED):
                return NotModified()
        return _decode(reply, Listing)

    async def list_hosts(self) -> HostList | Refused | Unavailable:
        """Read the platform's list of hosts, which may be stale."""
        return _decode(await self._read("/hosts"), HostList)

    async def _read(self, path: str) -> HttpReply | FailedCall:
        """Read `path`; retry on a new connection if the first was lost or silent.

        Only the first call can use a reused connection that is silent. Its timeout
        is half of the limit, which leaves time for the retry.
        """
        limit_s = self.limit_s / 2
        reply = await self._client.call("GET", path, limit_s=limit_s)
        if isinstance(reply, FailedCall) and reply.reason in _RETRIED_REASONS:
            reply = await self._client.call("GET", path, limit_s=limit_s)
        return reply


def _make_path(key: str, **options: int) -> str:
    query = f"?{urlencode(options)}" if options else ""
    return f"/objects/{quote(key)}{query}"


def _classify_failure(reply: HttpReply | FailedCall) -> Refused | Unavailable:
    match reply:
        case FailedCall(step=step, reason=reason, sent=sent):
            return Unavailable(step=step, reason=reason, sent=sent)
        case HttpReply(status=HTTPStatus.TOO_MANY_REQUESTS):
            return _make_unavailable(reply, Reason.OVERLOADED, sent=False)
        case HttpReply(status=status) if _is_outage(status):
            return _make_unavailable(reply, Reason.SERVER_ERROR, sent=True)
    message = ascii(reply.body[:_MAX_MESSAGE_BYTES].decode("utf-8", "replace"))
    return Refused(status=reply.status, message=message)


def _is_outage(status: int) -> bool:
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR and (
        status != HTTPStatus.INSUFFICIENT_STORAGE
    )


def _make_unavailable(reply: HttpReply, reason: Reason, *, sent: bool) -> Unavailable:
    """Convert a 429 or a 5xx; the latter may come from a proxy before the store."""
    text = reply.headers.get("retry-after", "")
    is_number = text.isascii() and text.isdigit()
    after_s = min(float(text[:9]), MAX_RETRY_AFTER_S) if is_number else 0.0
    return Unavailable(
        step=Step.RECEIVE, reason=reason, sent=sent, retry_after_s=after_s
    )


def _read_object(key: str, reply: HttpReply) -> Found | Unavailable:
    version = _parse_version(reply)
    if version is None:
        return _INVALID_ANSWER
    return Found(key=key, version=version, value=reply.body)


def _parse_version(reply: HttpReply) -> int | None:
    found = _ETAG.fullmatch(reply.headers.get("etag", ""))
    return int(found.group(1)) if found else None


def _decode(
    reply: HttpReply | FailedCall, kind: type[_Decoded]
) -> _Decoded | Refused | Unavailable:
    if not isinstance(reply, HttpReply) or reply.status != HTTPStatus.OK:
        return _classify_failure(reply)
    try:
        return decode_json(reply.body, kind)
    except ValueError:
        return _INVALID_ANSWER
