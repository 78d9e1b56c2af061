"""Validates what callers of the entry hosts' interface send, apart from the body."""

import math
import secrets
from http import HTTPStatus

from ..state.settings import Service
from .web import JSON_TYPE, BadRequestError, Scope, get_headers

MAX_DEADLINE_MS = 60_000
MAX_REQUEST_ID_LENGTH = 128
MAX_TICKET_BYTES = 512


def require_method(scope: Scope, method: str) -> None:
    """Raise BadRequestError for another method."""
    if scope["method"] != method:
        raise BadRequestError(
            status=HTTPStatus.METHOD_NOT_ALLOWED,
            problem="wrong method",
            detail=f"use {method}",
        )


def require_json(scope: Scope) -> None:
    """Raise BadRequestError if the body is stated to be no JSON."""
    stated = get_headers(scope).get(b"content-type", JSON_TYPE)
    if stated.split(b";")[0].strip().lower() != JSON_TYPE:
        raise BadRequestError(
            status=HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
            problem="wrong media type",
            detail="send application/json",
        )


def require_idempotent(service: Service) -> None:
    """Raise BadRequestError unless the service takes queries."""
    if not service.idempotent:
        raise BadRequestError(
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
            problem="not a query",
            detail="this service is not idempotent: take a ticket, then POST to "
            "/requests with it",
        )


def require_not_idempotent(service: Service) -> None:
    """Raise BadRequestError unless the service takes requests with tickets."""
    if service.idempotent:
        raise BadRequestError(
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
            problem="not a booking",
            detail="this service is queried: POST to /query, without a ticket",
        )


def read_deadline_ms(scope: Scope, service: Service) -> float:
    """Return the time that the caller states, or else the service's own."""
    stated = get_headers(scope).get(b"deadline-ms")
    if stated is None:
        return service.deadline_ms
    try:
        deadline_ms = float(stated)
    except ValueError:
        deadline_ms = math.nan
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
            problem="impossible deadline",
            detail=f"Deadline-Ms is a number from 1 to {MAX_DEADLINE_MS}",
        )
    return deadline_ms


def read_ticket(scope: Scope) -> str:
    """Return the text of the ticket; raises BadRequestError without one."""
    headers = get_headers(scope)
    if b"idempotency-key" in headers:
        raise BadRequestError(
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
            problem="idempotency key",
            detail="a key chosen by the caller cannot be promised to run at most "
            "once: take a ticket from /tickets and send it as Ticket",
        )
    ticket = headers.get(b"ticket")
    if ticket is None or len(ticket) > MAX_TICKET_BYTES:
        raise BadRequestError(
            status=HTTPStatus.PRECONDITION_REQUIRED,
            problem="no ticket",
            detail="take a ticket from /tickets and send it as Ticket, so that a "
            "retry cannot run the request twice",
        )
    return ticket.decode("latin-1")


def make_request_id(scope: Scope) -> str:
    """Return the caller's Request-Id if it is valid, or a new one."""
    stated = get_headers(scope).get(b"request-id", b"").decode("latin-1")
    if stated and len(stated) <= MAX_REQUEST_ID_LENGTH and stated.isprintable():
        return stated
    return secrets.token_hex(8)
