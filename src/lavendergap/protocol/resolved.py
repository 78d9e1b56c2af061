"""Settings as hosts hand them to each other: checked, resolved and compressed.

An operator's text is checked once, by the command that applies it and by the hosts
that watch the platform. The others take this form, whose reading costs a small part
of a check; docs/design/settings.md has the figures.
"""

import zlib

import msgspec

from ..errors import ObjectError
from ..state.settings import (
    Address,
    Control,
    GiveUpStragglers,
    Group,
    Host,
    Service,
    Settings,
    StragglerPolicy,
    WaitForCoverage,
)

FORMAT = 1
"""Grows when the form changes; a host refuses a form that it does not know."""

MAX_PLAIN_BYTES = 8_000_000
"""Bounds what a hostile or garbled frame can make a host unpack."""

_COMPRESSION = 1


class _GiveUp(msgspec.Struct, frozen=True, tag="give up", tag_field="kind"):
    min_share: float
    patience: float


class _Wait(msgspec.Struct, frozen=True, tag="wait", tag_field="kind"):
    pass


class _Service(msgspec.Struct, frozen=True):
    """A service whose policy is tagged: msgspec decodes no union of data classes."""

    name: str
    idempotent: bool
    groups: tuple[Group, ...]
    deadline_ms: int
    stragglers: _GiveUp | _Wait
    hedge_budget: float
    hedge_after_quantile: float
    retry_budget: float
    queue_limit: int
    max_body_bytes: int
    weight: float


class _Settings(msgspec.Struct, frozen=True):
    format: int
    deployment: str
    version: int
    platform: Address
    hosts: tuple[Host, ...]
    services: tuple[_Service, ...]
    control: Control


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Settings)


def encode_settings(settings: Settings) -> bytes:
    """Return `settings`, its version included, as bytes for `decode_settings`."""
    message = _Settings(
        format=FORMAT,
        deployment=settings.deployment,
        version=settings.version,
        platform=settings.platform,
        hosts=settings.hosts,
        services=tuple(_pack_service(service) for service in settings.services),
        control=settings.control,
    )
    return zlib.compress(_ENCODER.encode(message), _COMPRESSION)


def decode_settings(data: bytes) -> Settings:
    """Return the settings in `data`.

    Raises ObjectError where it is cut short, garbled, too large once unpacked, or of
    another format.
    """
    try:
        message = _DECODER.decode(_unpack(data))
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ObjectError(key="resolved settings", problem=str(error)) from None
    if message.format != FORMAT:
        problem = f"format {message.format}, expected {FORMAT}; upgrade this host"
        raise ObjectError(key="resolved settings", problem=problem)
    return Settings(
        deployment=message.deployment,
        version=message.version,
        platform=message.platform,
        hosts=message.hosts,
        services=tuple(_unpack_service(service) for service in message.services),
        control=message.control,
    )


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    plain = unpacker.decompress(data, MAX_PLAIN_BYTES)
    if unpacker.unconsumed_tail or unpacker.unused_data or not unpacker.eof:
        raise zlib.error("cut short, too large or followed by other bytes")
    return plain


def _pack_service(service: Service) -> _Service:
    match service.stragglers:
        case GiveUpStragglers(min_share=min_share, patience=patience):
            policy: _GiveUp | _Wait = _GiveUp(min_share=min_share, patience=patience)
        case WaitForCoverage():
            policy = _Wait()
    return _Service(
        name=service.name,
        idempotent=service.idempotent,
        groups=service.groups,
        deadline_ms=service.deadline_ms,
        stragglers=policy,
        hedge_budget=service.hedge_budget,
        hedge_after_quantile=service.hedge_after_quantile,
        retry_budget=service.retry_budget,
        queue_limit=service.queue_limit,
        max_body_bytes=service.max_body_bytes,
        weight=service.weight,
    )


def _unpack_service(service: _Service) -> Service:
    policy: StragglerPolicy = WaitForCoverage()
    if isinstance(service.stragglers, _GiveUp):
        policy = GiveUpStragglers(
            min_share=service.stragglers.min_share,
            patience=service.stragglers.patience,
        )
    return Service(
        name=service.name,
        idempotent=service.idempotent,
        groups=service.groups,
        deadline_ms=service.deadline_ms,
        stragglers=policy,
        hedge_budget=service.hedge_budget,
        hedge_after_quantile=service.hedge_after_quantile,
        retry_budget=service.retry_budget,
        queue_limit=service.queue_limit,
        max_body_bytes=service.max_body_bytes,
        weight=service.weight,
    )
