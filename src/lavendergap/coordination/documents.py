"""The newest known version of each document, whatever its source."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from ..state.member import DocumentsDigest, DocumentVersion

MAX_DIGEST_BYTES = 400
"""Space for the listed versions in one datagram."""

# Encoded size of an entry without its name, and the most that a name is padded by.
_ENTRY_BYTES = 24
_PADDING_BYTES = 8

Checker = Callable[[str, bytes], str | None]
"""Given a document's name and body, returns why it can't be used, or None."""


class Source(StrEnum):
    """Where a version of a document came from."""

    PLATFORM = "platform"
    PEER = "peer"
    FILE = "file"


class IgnoredReason(StrEnum):
    """Why an offered version was ignored."""

    OLDER = "older"
    SAME = "same"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The version is in force now."""

    name: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ignored:
    """The version was not put in force; `detail` is why the checker refused it."""

    name: str
    version: int
    reason: IgnoredReason
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """A document in force."""

    name: str
    version: int
    body: bytes
    source: Source


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A version that was refused, newer than the one in force."""

    name: str
    version: int
    reason: str
    source: Source


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchDocument:
    """Ask a peer for the body of `name` at version `at_least` or newer."""

    name: str
    at_least: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Comparison:
    """The differences between another host's digest and this host's documents.

    `complete` is False when they differ only in documents that the digest had no space
    to list; then the full list has to be requested.
    """

    wanted: tuple[FetchDocument, ...]
    offered: tuple[DocumentVersion, ...]
    complete: bool


class Documents:
    """The documents in force at one host; versions only increase.

    >>> documents = Documents(check=lambda name, body: None)
    >>> documents.offer("index/scheduler", 7, b"{}", Source.PLATFORM)
    Accepted(name='index/scheduler', version=7)
    >>> documents.offer("index/scheduler", 6, b"{}", Source.PEER).reason.value
    'older'
    >>> documents.get("index/scheduler").version
    7
    """

    def __init__(self, *, check: Checker) -> None:
        self._check = check
        self._documents: dict[str, Document] = {}
        self._problems: dict[str, Problem] = {}
        self._digest: DocumentsDigest | None = None

    def get(self, name: str) -> Document | None:
        """Return the document in force, or None when none is known."""
        return self._documents.get(name)

    def problems(self) -> tuple[Problem, ...]:
        """Return the refused versions for which no newer one has been accepted."""
        return tuple(self._problems.values())

    def versions(self) -> tuple[DocumentVersion, ...]:
        """Return the versions of all documents in force, the newest first."""
        newest_first = sorted(
            self._documents.values(), key=lambda d: (d.version, d.name), reverse=True
        )
        return tuple(
            DocumentVersion(name=document.name, version=document.version)
            for document in newest_first
        )

    def offer(
        self, name: str, version: int, body: bytes, source: Source
    ) -> Accepted | Ignored:
        """Put a version in force if it is newer than all accepted or refused before.

        This holds for every source: a platform that answers from a stale replica and a
        peer that resumes after a pause would otherwise revert an accepted edit.
        """
        if (newest_seen := self._newest_seen(name)) >= version:
            return self._build_ignored(name, version, newest_seen)
        if (problem := self._check(name, body)) is not None:
            self._problems[name] = Problem(
                name=name, version=version, reason=problem, source=source
            )
            return Ignored(
                name=name,
                version=version,
                reason=IgnoredReason.REFUSED,
                detail=problem,
            )
        self._documents[name] = Document(
            name=name, version=version, body=body, source=source
        )
        self._problems.pop(name, None)
        self._digest = None
        return Accepted(name=name, version=version)

    def digest(self) -> DocumentsDigest:
        """Return the digest to send with each datagram."""
        if self._digest is None:
            self._digest = _summarise(self.versions())
        return self._digest

    def compare(self, digest: DocumentsDigest) -> Comparison:
        """Return what to fetch from the sender of `digest`, and what to offer to it.

        A version that was refused here is not fetched again; a newer one is.
        """
        own_digest = self.digest()
        if digest.fingerprint == own_digest.fingerprint:
            return Comparison(wanted=(), offered=(), complete=True)
        wanted = tuple(
            FetchDocument(name=remote.name, at_least=remote.version)
            for remote in digest.newest
            if remote.version > self._newest_seen(remote.name)
        )
        remote_versions = {remote.name: remote.version for remote in digest.newest}
        # Versions omitted from a truncated digest are no newer than any that it lists.
        oldest_listed = min((d.version for d in digest.newest), default=-1)
        oldest_listed = oldest_listed if digest.truncated else -1
        offered = tuple(
            own
            for own in self.versions()
            if own.version > remote_versions.get(own.name, oldest_listed)
        )
        complete = not digest.truncated or bool(wanted or offered)
        return Comparison(wanted=wanted, offered=offered, complete=complete)

    def _newest_seen(self, name: str) -> int:
        document = self._documents.get(name)
        problem = self._problems.get(name)
        return max(
            document.version if document else -1, problem.version if problem else -1
        )

    def _build_ignored(self, name: str, version: int, newest_seen: int) -> Ignored:
        problem = self._problems.get(name)
        if problem is not None and problem.version == version:
            return Ignored(
                name=name,
                version=version,
                reason=IgnoredReason.REFUSED,
                detail=problem.reason,
            )
        reason = IgnoredReason.SAME if newest_seen == version else IgnoredReason.OLDER
        return Ignored(name=name, version=version, reason=reason)


def _summarise(versions: tuple[DocumentVersion, ...]) -> DocumentsDigest:
    fingerprint = 0
    n_bytes = 0
    newest = []
    for entry in versions:
        fingerprint ^= xxh3_64_intdigest(f"{entry.name}\0{entry.version}".encode())
        n_bytes += _ENTRY_BYTES + len(entry.name.encode()) + _PADDING_BYTES
        if n_bytes <= MAX_DIGEST_BYTES:
            newest.append(entry)
    return DocumentsDigest(
        fingerprint=fingerprint,
        newest=tuple(newest),
        truncated=len(newest) < len(versions),
    )
