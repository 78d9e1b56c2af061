"""The codec of resolved settings, the form in which hosts send them to each other.

The command that applies operators' text validates it and stores this compressed form
with it, which is much cheaper to read. A host that watches the platform validates the
text only if it can't use that form; see docs/design/settings.md.
"""

import zlib

import msgspec

from ..errors import ObjectError
from ..state.customers import CustomerTable, LimitBounds
from ..state.settings import (
    DEFAULT_LIMITS,
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
FORMAT_WITH_CUSTOMERS = 2
"""Incremented when the format changes; hosts refuse unknown formats.

Settings without customers keep the older format. A host that knows only that one would
ignore customers and serve requests without a key.
"""

MAX_PLAIN_BYTES = 8_000_000
"""Limits the memory that a hostile or malformed frame can use up."""

_COMPRESSION_LEVEL = 1


class _GiveUp(msgspec.Struct, frozen=True, tag="give up", tag_field="kind"):
    min_share: float
    patience: float


class _Wait(msgspec.Struct, frozen=True, tag="wait", tag_field="kind"):
    pass


class _Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A service with a tagged policy; msgspec can't decode unions of data classes."""

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
    public: bool = False


class _Settings(msgspec.Struct, frozen=True, omit_defaults=True):
    format: int
    deployment: str
    version: int
    platform: Address
    hosts: tuple[Host, ...]
    services: tuple[_Service, ...]
    control: Control
    customers: CustomerTable | None = None
    limits: LimitBounds | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Settings)


def encode_settings(settings: Settings) -> bytes:
    """Return `settings`, including the version, as bytes for `decode_settings`."""
    message = _Settings(
        format=FORMAT if settings.customers is None else FORMAT_WITH_CUSTOMERS,
        deployment=settings.deployment,
        version=settings.version,
        platform=settings.platform,
        hosts=settings.hosts,
        services=tuple(_pack_service(service) for service in settings.services),
        control=settings.control,
        customers=settings.customers,
        limits=settings.limits if settings.limits != DEFAULT_LIMITS else None,
    )
    return zlib.compress(_ENCODER.encode(message), _COMPRESSION_LEVEL)


def decode_settings(data: bytes) -> Settings:
    """Return the settings in `data`.

    Raises ObjectError if `data` is truncated, malformed, too large when decompressed,
    or of another format.
    """
    try:
        message = _DECODER.decode(_decompress(data))
    except (zlib.error, ValueError, RecursionError) as error:
        raise ObjectError(key="resolved settings", problem=str(error)) from None
    if message.format not in (FORMAT, FORMAT_WITH_CUSTOMERS):
        expected = f"{FORMAT} or {FORMAT_WITH_CUSTOMERS}"
        problem = f"format {message.format}, expected {expected}; upgrade this host"
        raise ObjectError(key="resolved settings", problem=problem)
    return Settings(
        deployment=message.deployment,
        version=message.version,
        platform=message.platform,
        hosts=message.hosts,
        services=tuple(_unpack_service(service) for service in message.services),
        control=message.control,
        customers=message.customers,
        limits=message.limits or DEFAULT_LIMITS,
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_PLAIN_BYTES)
    if decompressor.unconsumed_tail or decompressor.unused_data or not decompressor.eof:
        raise zlib.error("truncated, too large or followed by extra bytes")
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
        public=service.public,
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
        public=service.public,
    )
