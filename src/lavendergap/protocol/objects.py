"""The objects stored on the platform, as data classes and as JSON.

settings/DEPLOYMENT   a `SettingsObject`: the operators' text and its last edits
index/SERVICE         the snapshots of a service, published by the indexer
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec
from xxhash import xxh3_128_hexdigest

from ..errors import ObjectError
from ..state.settings import Service, Settings
from ..state.snapshot import Published, Shard, Snapshot
from ..state.tree import parse_settings
from ..state.values import is_name
from .resolved import decode_settings, encode_settings

MAX_EDITS = 50
"""Edits kept in an object; enough for operators to find their last ones."""

MAX_OBJECT_BYTES = 1_000_000
"""The platform rejects larger values."""

_SHARE_TOLERANCE = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """One accepted edit of the settings.

    With `id` an operator whose reply was lost can check whether the edit took effect.
    `base` is the version that was edited: edits after it are those that the author had
    not seen. `at` is the time in RFC 3339 by the command's clock, for display only.
    """

    id: str
    author: str
    at: str
    message: str
    changed: tuple[str, ...]
    base: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ResolvedText:
    """The resolved form of a text, and the digest of that text."""

    digest: str
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsObject:
    """The value of `settings/DEPLOYMENT`; `edits` is newest last.

    `resolved` is the resolved form of `text`, stored by the command that wrote it, so
    that hosts need not validate the text again; see `read_settings`.
    """

    text: str
    edits: tuple[Edit, ...] = ()
    resolved: ResolvedText | None = None

    def add_edit(
        self, edit: Edit, *, text: str, resolved: ResolvedText | None = None
    ) -> "SettingsObject":
        """Return a copy with the new `text` and with `edit` appended."""
        edits = (*self.edits, edit)[-MAX_EDITS:]
        return SettingsObject(text=text, edits=edits, resolved=resolved)

    def find_edit(self, id: str) -> Edit | None:
        """Return the edit with that id if it is still kept, or None."""
        return next((edit for edit in self.edits if edit.id == id), None)


class _Index(msgspec.Struct, frozen=True):
    snapshots: tuple["_Snapshot", ...]


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    shards: tuple[Shard, ...]


_ENCODER = msgspec.json.Encoder()
_SETTINGS_DECODER = msgspec.json.Decoder(SettingsObject)
_INDEX_DECODER = msgspec.json.Decoder(_Index)


def make_settings_key(deployment: str) -> str:
    """Return the key of a deployment's settings."""
    return f"settings/{deployment}"


def make_index_key(service: str) -> str:
    """Return the key of a service's published snapshots."""
    return f"index/{service}"


def resolve_text(text: str, settings: Settings) -> ResolvedText:
    """Return the resolved form of `text`, which was parsed to `settings`."""
    return ResolvedText(digest=_digest(text), data=encode_settings(settings))


def read_settings(value: SettingsObject, *, key: str, version: int) -> Settings:
    """Return the settings in the object `key` at `version`.

    The resolved form is used if it belongs to the text and this release can read it;
    that takes milliseconds. Otherwise the text is parsed and validated, which takes
    0.2 s for thousands of backend servers. Raises SettingsError if the text has
    problems.
    """
    resolved = value.resolved
    if resolved is not None and resolved.digest == _digest(value.text):
        try:
            settings = decode_settings(resolved.data)
        except ObjectError:
            # Written by another release, or malformed: fall back to the text.
            return parse_settings(value.text, file=key, version=version)
        return replace(settings, version=version)
    return parse_settings(value.text, file=key, version=version)


def _digest(text: str) -> str:
    return xxh3_128_hexdigest(text.encode("utf-8", "surrogatepass"))


def encode_settings_object(value: SettingsObject) -> bytes:
    """Return the JSON of `value`, without its resolved form if that does not fit.

    Raises ObjectError if it exceeds the platform's limit even so.
    """
    data = _ENCODER.encode(value)
    if len(data) > MAX_OBJECT_BYTES and value.resolved is not None:
        data = _ENCODER.encode(replace(value, resolved=None))
    if len(data) > MAX_OBJECT_BYTES:
        problem = (
            f"{len(data)} bytes including edits; at most {MAX_OBJECT_BYTES} are allowed"
        )
        raise ObjectError(key="settings", problem=problem)
    return data


def decode_settings_object(data: bytes, *, key: str) -> SettingsObject:
    """Return the object in `data`; raises ObjectError naming `key`.

    The text inside is not validated here; `read_settings` does that.
    """
    try:
        return _SETTINGS_DECODER.decode(data)
    except (ValueError, RecursionError) as error:
        raise ObjectError(key=key, problem=str(error)) from None


def decode_index_object(data: bytes, *, service: str, version: int) -> Published:
    """Return the snapshots in `data`, the object's value at `version`.

    Raises ObjectError if it is malformed or if a partition map is inconsistent, since
    answers based on it would report a wrong coverage.
    """
    key = make_index_key(service)
    try:
        index = _INDEX_DECODER.decode(data)
    except (ValueError, RecursionError) as error:
        raise ObjectError(key=key, problem=str(error)) from None
    for problem in _check_index(index):
        raise ObjectError(key=key, problem=problem)
    snapshots = tuple(
        Snapshot(service=service, version=snapshot.version, shards=snapshot.shards)
        for snapshot in index.snapshots
    )
    return Published(service=service, object_version=version, snapshots=snapshots)


def encode_index_object(published: Published) -> bytes:
    """Return the JSON of the snapshots in the indexer's format."""
    snapshots = tuple(
        _Snapshot(version=snapshot.version, shards=snapshot.shards)
        for snapshot in published.snapshots
    )
    return _ENCODER.encode(_Index(snapshots=snapshots))


def make_default_index(service: Service) -> Published:
    """Return the index used until an indexer has published one.

    It has a shard for each group, with equal shares. It is version 1 of the index, at
    version 0 of the object.
    """
    share = 1.0 / len(service.groups)
    shards = tuple(
        Shard(name=f"s{number:02}", group=group.name, share=share)
        for number, group in enumerate(service.groups)
    )
    first = Snapshot(service=service.name, version=1, shards=shards)
    return Published(service=service.name, object_version=0, snapshots=(first,))


def _check_index(index: _Index) -> Iterator[str]:
    if not index.snapshots:
        yield "expected at least one snapshot"
    versions = [snapshot.version for snapshot in index.snapshots]
    if versions != sorted(set(versions)) or min(versions, default=1) < 1:
        yield f"expected ascending versions of at least 1, found {versions}"
    for snapshot in index.snapshots:
        names = {shard.name for shard in snapshot.shards}
        if len(names) != len(snapshot.shards):
            yield f"version {snapshot.version}: expected each shard once"
        if not all(is_name(shard.name) for shard in snapshot.shards):
            yield f"version {snapshot.version}: expected names of letters and digits"
        if not all(0.0 < shard.share <= 1.0 for shard in snapshot.shards):
            yield f"version {snapshot.version}: expected shares above 0 and up to 1"
        share = math.fsum(shard.share for shard in snapshot.shards)
        if abs(share - 1.0) > _SHARE_TOLERANCE:
            yield f"version {snapshot.version}: expected shares that add up to 1"
