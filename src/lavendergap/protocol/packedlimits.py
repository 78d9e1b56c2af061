"""The msgpack codec of the messages about customers' limits."""

from typing import Annotated

import msgspec

from .messages import (
    CountHandover,
    HandoverRequest,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)

MAX_PERMITS = 1_000_000
"""More in one message, or a longer time in milliseconds, is an error of the sender."""

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_PERMITS)]
# Not a number fails both comparisons of a range written this way round.
_Tokens = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_PERMITS))]


class _PackedPermitRequest(msgspec.Struct, array_like=True, tag=7):
    id: int
    customer: str
    n: _Number


class _PackedPermitGrant(msgspec.Struct, array_like=True, tag=8):
    id: int
    n: _Number
    valid_ms: _Number
    next_ms: _Number
    retry_ms: _Number
    is_counting: bool
    n_used: _Number


class _PackedPermitReturn(msgspec.Struct, array_like=True, tag=9):
    id: int
    customer: str
    n: _Number


class _PackedHandoverRequest(msgspec.Struct, array_like=True, tag=10):
    id: int
    customer: str


class _PackedCountHandover(msgspec.Struct, array_like=True, tag=11):
    id: int
    customer: str
    tokens: _Tokens
    was_counting: bool
    rank: _Number
    is_sure: bool
    # Of hosts that went silently hours ago, so without the limit of the other times.
    gone: tuple[tuple[str, Annotated[int, msgspec.Meta(ge=0)]], ...] = ()
    n_hosts: _Number = 0


PackedLimitMessage = (
    _PackedPermitRequest
    | _PackedPermitGrant
    | _PackedPermitReturn
    | _PackedHandoverRequest
    | _PackedCountHandover
)
_encode = msgspec.msgpack.Encoder().encode

LimitMessage = (
    PermitRequest | PermitGrant | PermitReturn | HandoverRequest | CountHandover
)


def pack_limit_message(frame_id: int, message: LimitMessage) -> bytes:
    """Return the bytes of a message about limits, without the length prefix."""
    match message:
        case PermitRequest(customer=customer, n=n):
            return _encode(_PackedPermitRequest(frame_id, customer, n))
        case PermitReturn(customer=customer, n=n):
            return _encode(_PackedPermitReturn(frame_id, customer, n))
        case HandoverRequest(customer=customer):
            return _encode(_PackedHandoverRequest(frame_id, customer))
        case PermitGrant():
            return _encode(
                _PackedPermitGrant(
                    frame_id,
                    message.n,
                    message.valid_ms,
                    message.next_ms,
                    message.retry_ms,
                    message.is_counting,
                    message.n_used,
                )
            )
        case CountHandover():
            return _encode(
                _PackedCountHandover(
                    frame_id,
                    message.customer,
                    message.tokens,
                    message.was_counting,
                    message.rank,
                    message.is_sure,
                    message.gone,
                    message.n_hosts,
                )
            )


def unpack_limit_message(packed: PackedLimitMessage) -> LimitMessage:
    """Return the message in its decoded struct."""
    match packed:
        case _PackedPermitRequest(customer=customer, n=n):
            return PermitRequest(customer=customer, n=n)
        case _PackedPermitReturn(customer=customer, n=n):
            return PermitReturn(customer=customer, n=n)
        case _PackedHandoverRequest(customer=customer):
            return HandoverRequest(customer=customer)
        case _PackedPermitGrant():
            return PermitGrant(
                n=packed.n,
                valid_ms=packed.valid_ms,
                next_ms=packed.next_ms,
                retry_ms=packed.retry_ms,
                is_counting=packed.is_counting,
                n_used=packed.n_used,
            )
        case _PackedCountHandover():
            return CountHandover(
                customer=packed.customer,
                tokens=packed.tokens,
                was_counting=packed.was_counting,
                rank=packed.rank,
                is_sure=packed.is_sure,
                gone=packed.gone,
                n_hosts=packed.n_hosts,
            )
