"""Callers that book as real ones do: they wait, retry elsewhere, and give up."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import trio

from standins.client import Answer, LostConnectionError, connect
from standins.fleet import parse_address

DEADLINE_MS = 600
CALL_LIMIT = 1.0
READY_INTERVAL = 0.5
READY_LIMIT = 0.3
RETRY_PAUSE = 0.25
MAX_TICKETS = 3
MAX_TRIES = 8
JSON = {"Content-Type": "application/json"}


class Ending(StrEnum):
    """What a caller knows in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclass(kw_only=True, slots=True)
class Booking:
    """One booking, its ending, and what its caller was told on the way.

    Each ticket's request has an id of its own, so that the backend servers' counts
    prove or refute what was told of that ticket.
    """

    name: str
    started: float
    ended: float = 0.0
    ending: Ending = Ending.NO_ANSWER
    request_ids: list[str] = field(default_factory=list)
    told_not_run: list[str] = field(default_factory=list)
    told_answered: list[str] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)
    surprises: list[str] = field(default_factory=list)


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    limit: float = CALL_LIMIT,
) -> Answer | None:
    """Make one call over a connection of its own; None without a whole answer."""
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
    """Chooses among the hosts that said a moment ago that they are ready."""

    def __init__(self, *, admin: Mapping[str, str], dice: random.Random) -> None:
        self._admin = admin
        self._dice = dice
        self._ready = set(admin)

    async def run(self) -> None:
        """Ask all hosts for readiness, now and then, until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for callers in self._admin:
                    nursery.start_soon(self._ask, callers)
            await trio.sleep(READY_INTERVAL)

    async def _ask(self, callers: str) -> None:
        answer = await call(self._admin[callers], "GET", "/ready", limit=READY_LIMIT)
        if answer is not None and answer.status == 200:
            self._ready.add(callers)
        else:
            self._ready.discard(callers)

    def choose(self, *, but: str = "") -> str:
        """Return a host's address for callers, another one than `but` if it can."""
        ready = sorted(self._ready) or sorted(self._admin)
        return self._dice.choice([each for each in ready if each != but] or ready)


class TicketCaller:
    """Books with tickets: a retry brings the same ticket to another host."""

    def __init__(self, *, balancer: Balancer, service: str) -> None:
        self._balancer = balancer
        self._path = f"/v1/services/{service}"

    async def book(self, booking: Booking) -> None:
        """Book; a new ticket is taken only after "not run"."""
        for turn in range(MAX_TICKETS):
            ticket = await self._take_ticket()
            if ticket is None:
                booking.ending = Ending.NO_ANSWER
                continue
            request_id = f"{booking.name}/{turn}"
            booking.request_ids.append(request_id)
            booking.ending = await self._use(ticket, request_id, booking)
            if booking.ending is not Ending.NOT_RUN:
                return

    async def _take_ticket(self) -> str | None:
        host = ""
        for _ in range(MAX_TRIES):
            host = self._balancer.choose(but=host)
            answer = await call(host, "POST", f"{self._path}/tickets")
            if answer is not None and answer.status == 201:
                return str(answer.json["ticket"])
            await trio.sleep(RETRY_PAUSE)
        return None

    async def _use(self, ticket: str, request_id: str, booking: Booking) -> Ending:
        headers = {**JSON, "Ticket": ticket, "Deadline-Ms": str(DEADLINE_MS)}
        headers["Request-Id"] = request_id
        body = msgspec.json.encode({"query": request_id})
        ending = Ending.NO_ANSWER
        host = ""
        for _ in range(MAX_TRIES):
            host = self._balancer.choose(but=host)
            answer = await call(
                host, "POST", f"{self._path}/requests", headers=headers, body=body
            )
            match answer:
                case Answer(status=200):
                    booking.told_answered.append(request_id)
                    if answer.json["result"]["query"] != request_id:
                        booking.surprises.append(f"{request_id}: another's answer")
                    return Ending.ANSWERED
                case Answer(status=503):
                    booking.told_not_run.append(request_id)
                    return Ending.NOT_RUN
                case Answer(status=504):
                    ending = Ending.UNKNOWN
                    booking.doubts.append(_describe(answer.json))
                case Answer(status=status, body=text):
                    booking.surprises.append(f"{request_id} {host}: {status} {text!r}")
            await trio.sleep(RETRY_PAUSE)
        return ending


def _describe(refusal: dict[str, str]) -> str:
    peer = refusal["peer"]
    where = "a server" if peer.startswith("ledger") else "a host"
    return f"{refusal['step']}, {refusal['reason']}, at {where}"


class PlainCaller:
    """Books through naive forwarders: a retry is just another request."""

    def __init__(self, *, choose: Callable[[], str]) -> None:
        self._choose = choose

    async def book(self, booking: Booking) -> None:
        """Book; after an error the request is sent again through any forwarder."""
        booking.request_ids.append(booking.name)
        body = msgspec.json.encode({"query": booking.name})
        for _ in range(MAX_TRIES):
            answer = await call(
                self._choose(), "POST", "/", headers=JSON, body=body, limit=CALL_LIMIT
            )
            if answer is not None and answer.status == 200:
                booking.told_answered.append(booking.name)
                booking.ending = Ending.ANSWERED
                return
            await trio.sleep(RETRY_PAUSE)
