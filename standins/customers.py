"""Customers of the operators' manifest, their keys, and what servers see of them."""

import secrets
from dataclasses import dataclass, field
from typing import Any

from .http import Request

KEY_HEADER = "Lavendergap-Credential"
CUSTOMER_HEADER = "Lavendergap-Tenant-Id"
# All keys made here contain it, so that a key is recognised wherever it is sent.
KEY_MARK = "standin-key-"


def make_key() -> str:
    """Return a new random key."""
    return f"{KEY_MARK}{secrets.token_hex(12)}"


@dataclass(kw_only=True)
class CustomerEntry:
    """A customer of the manifest; keys and limits may change between its versions."""

    name: str
    keys: list[str] = field(default_factory=lambda: [make_key()])
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def show(self) -> dict[str, Any]:
        """Return the entry in the manifest's format."""
        return {
            "name": self.name,
            "api_keys": list(self.keys),
            "priority": self.priority,
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
        }


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedRequest:
    """What one server received and when, in seconds on the event loop's clock.

    `customer` is the customer's header, "" without one. `is_run` is false for a request
    that the server refused.
    """

    at: float
    attempt: str
    customer: str
    has_key: bool
    is_run: bool


def contains_key(request: Request) -> bool:
    """Return whether any part of a request contains a key."""
    texts = (request.path, request.query, *request.headers.values())
    return (
        KEY_HEADER.lower() in request.headers
        or any(KEY_MARK in text for text in texts)
        or KEY_MARK.encode() in request.body
    )
