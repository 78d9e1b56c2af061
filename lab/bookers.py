"""Simulated callers that send bookings with timeouts and retries."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import trio

from standins.client import Answer, LostConnectionError, connect
from standins.fleet import parse_address

DEADLINE_MS = 600
CALL_LIMIT_S = 1.0
READY_INTERVAL_S = 0.5
READY_LIMIT_S = 0.3
RETRY_PAUSE_S = 0.25
MAX_TICKETS = 3
MAX_TRIES = 8
JSON_HEADERS = {"Content-Type": "application/json"}


class BookingResult(StrEnum):
    """The result of a booking as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclass(kw_only=True, slots=True)
class Booking:
    """One booking, its final result, and the responses that its caller received.

    Each ticket's request has its own id, so that the responses for that ticket can be
    compared with the run counts of the backend servers. Times are in seconds.
    """

    name: str
    started: float
    ended: float = 0.0
    result: BookingResult = BookingResult.NO_ANSWER
    request_ids: list[str] = field(default_factory=list)
    reported_not_run: list[str] = field(default_factory=list)
    reported_answered: list[str] = field(default_factory=list)
    unknown_reasons: list[str] = field(default_factory=list)
    unexpected_answers: list[str] = field(default_factory=list)


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    limit: float = CALL_LIMIT_S,
) -> Answer | None:
    """Make one call over a new connection; return None without a complete answer.

    `limit` is in seconds.
    """
    to = parse_address(address)
    with trio.move_on_after(limit):
        try:
            client = await connect(to.ip, to.port)
        except OSError:
            return None
        try:
            return await client.request(method, path, headers=headers, body=body)
        except LostConnectionError:
            return None
        finally:
            await client.aclose()
    return None


class Balancer:
    """Chooses among the hosts whose last readiness check succeeded.

    `admin_addresses` maps a host's address for callers to its admin address.
    """

    def __init__(
        self, *, admin_addresses: Mapping[str, str], rng: random.Random
    ) -> None:
        self._admin_addresses = admin_addresses
        self._rng = rng
        self._ready = set(admin_addresses)

    async def run(self) -> None:
        """Check the readiness of all hosts periodically, until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for address in self._admin_addresses:
                    nursery.start_soon(self._check_ready, address)
            await trio.sleep(READY_INTERVAL_S)

    async def _check_ready(self, address: str) -> None:
        answer = await call(
            self._admin_addresses[address], "GET", "/ready", limit=READY_LIMIT_S
        )
        if answer is not None and answer.status == 200:
            self._ready.add(address)
        else:
            self._ready.discard(address)

    def choose(self, *, exclude: str = "") -> str:
        """Return a ready host's address for callers, if possible not `exclude`.

        Without a ready host it chooses among all hosts.
        """
        ready = sorted(self._ready) or sorted(self._admin_addresses)
        return self._rng.choice([each for each in ready if each != exclude] or ready)


class TicketCaller:
    """Books with tickets: a retry sends the same ticket to another host."""

    def __init__(self, *, balancer: Balancer, service: str) -> None:
        self._balancer = balancer
        self._path = f"/v1/services/{service}"

    async def book(self, booking: Booking) -> None:
        """Book; request a new ticket only after a "not run" response."""
        for number in range(MAX_TICKETS):
            ticket = await self._take_ticket()
            if ticket is None:
                booking.result = BookingResult.NO_ANSWER
                continue
            request_id = f"{booking.name}/{number}"
            booking.request_ids.append(request_id)
            booking.result = await self._send_with_ticket(ticket, request_id, booking)
            if booking.result is not BookingResult.NOT_RUN:
                return

    async def _take_ticket(self) -> str | None:
        host = ""
        for _ in range(MAX_TRIES):
            host = self._balancer.choose(exclude=host)
            answer = await call(host, "POST", f"{self._path}/tickets")
            if answer is not None and answer.status == 201:
                return str(answer.json["ticket"])
            await trio.sleep(RETRY_PAUSE_S)
        return None

    async def _send_with_ticket(
        self, ticket: str, request_id: str, booking: Booking
    ) -> BookingResult:
        headers = {**JSON_HEADERS, "Ticket": ticket, "Deadline-Ms": str(DEADLINE_MS)}
        headers["Request-Id"] = request_id
        body = msgspec.json.encode({"query": request_id})
        result = BookingResult.NO_ANSWER
        host = ""
        for _ in range(MAX_TRIES):
            host = self._balancer.choose(exclude=host)
            answer = await call(
                host, "POST", f"{self._path}/requests", headers=headers, body=body
            )
            match answer:
                case Answer(status=200):
                    booking.reported_answered.append(request_id)
                    if answer.json["result"]["query"] != request_id:
                        booking.unexpected_answers.append(
                            f"{request_id}: answer to another request"
                        )
                    return BookingResult.ANSWERED
                case Answer(status=503):
                    booking.reported_not_run.append(request_id)
                    return BookingResult.NOT_RUN
                case Answer(status=504):
                    result = BookingResult.UNKNOWN
                    booking.unknown_reasons.append(_describe_refusal(answer.json))
                case Answer(status=status, body=text):
                    booking.unexpected_answers.append(
                        f"{request_id} {host}: {status} {text!r}"
                    )
            await trio.sleep(RETRY_PAUSE_S)
        return result


def _describe_refusal(refusal: dict[str, str]) -> str:
    peer = refusal["peer"]
    where = "a server" if peer.startswith("ledger") else "a host"
    return f"{refusal['step']}, {refusal['reason']}, at {where}"


class PlainCaller:
    """Books through naive forwarders: a retry is a new, unrelated request."""

    def __init__(self, *, choose: Callable[[], str]) -> None:
        self._choose = choose

    async def book(self, booking: Booking) -> None:
        """Book; after an error, send the request again through any forwarder."""
        booking.request_ids.append(booking.name)
        body = msgspec.json.encode({"query": booking.name})
        for _ in range(MAX_TRIES):
            answer = await call(
                self._choose(),
                "POST",
                "/",
                headers=JSON_HEADERS,
                body=body,
                limit=CALL_LIMIT_S,
            )
            if answer is not None and answer.status == 200:
                booking.reported_answered.append(booking.name)
                booking.result = BookingResult.ANSWERED
                return
            await trio.sleep(RETRY_PAUSE_S)
