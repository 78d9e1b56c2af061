"""Customers: who may send requests, with which keys and within which limits."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_KEY_BYTES = 256
"""A longer key is unknown, so that a long header costs no more than a short one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """A customer, its priority and its limit over all hosts together.

    `rate_per_s` is in requests per second and `burst` in requests; a rate of 0 means no
    limit. `priority` 0 is the most urgent and precedes the priority of the route. If
    `share_weight` is 0, the weight follows from the rate.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    share_weight: float = 0.0

    @property
    def has_limit(self) -> bool:
        """Whether the customer's requests are counted."""
        return self.rate_per_s > 0.0

    @property
    def weight(self) -> float:
        """The customer's share among customers of one priority that compete for room.

        Unless stated, a customer with a limit weighs as much as it is entitled to send.
        """
        if self.share_weight > 0.0:
            return self.share_weight
        return self.rate_per_s if self.has_limit else 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Precedence:
    """The customer's name of a call, and the call's place among those that wait."""

    customer: str = ""
    weight: float = 1.0
    priority: int = 0


NO_CUSTOMER = Precedence()
"""That of all calls if the settings name no customers, or the service is public."""


def make_precedence(customer: Customer | None) -> Precedence:
    """Return the precedence of a customer's calls."""
    if customer is None:
        return NO_CUSTOMER
    return Precedence(
        customer=customer.name, weight=customer.weight, priority=customer.priority
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitBounds:
    """How far all hosts together may exceed a customer's limit.

    In each window of `window_s` seconds, `1 + overage` times what the limit allows,
    plus `slack` requests.
    """

    window_s: float
    overage: float
    slack: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerTable:
    """All customers by name, and by the digest of each of their keys.

    Only digests are kept, so that no log line, error or status page can show a key. The
    time of a look-up depends on the digest of what a caller sent, not on how much of a
    key it got right.

    >>> table = CustomerTable(
    ...     customers={"c1": Customer(name="c1")},
    ...     names_by_digest={digest_key(b"secret"): "c1"})
    >>> table.find_by_key(b"secret").name, table.find_by_key(b"secre")
    ('c1', None)
    """

    customers: Mapping[str, Customer]
    names_by_digest: Mapping[bytes, str] = field(repr=False)

    def find_by_key(self, key: bytes) -> Customer | None:
        """Return the customer that a key belongs to, or None if it is unknown."""
        if not key or len(key) > MAX_KEY_BYTES:
            return None
        name = self.names_by_digest.get(digest_key(key))
        return None if name is None else self.customers[name]


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key).digest()
