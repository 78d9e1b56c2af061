"""Requests that must run at most once: issues, runs and looks up their tickets.

The decisions are made in coordination.issuer, witness and resolution. This module
exchanges their messages between hosts, and runs a request only if its issuer allows it.
"""

import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from math import inf
from typing import Protocol

import trio

from ..coordination.issuer import Issuer
from ..coordination.resolution import (
    Pending,
    Rejected,
    Settled,
    resolve_by_issuer,
    resolve_by_witness,
)
from ..coordination.witness import Witness
from ..logs import log_decision
from ..protocol.answers import Refusal, name_outcome
from ..protocol.messages import BadFrameError, TicketReply, TicketRequest
from ..protocol.tickets import (
    ASK,
    PING,
    RUN,
    WITNESS_VERBS,
    Reply,
    decode_request,
    encode_reply,
    encode_request,
    read_ticket,
)
from ..state.customers import Precedence, make_precedence
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Settings
from ..state.ticket import (
    Ack,
    AlreadyRunning,
    BadTicket,
    CloseIssuer,
    Forgotten,
    IssuerLost,
    IssuerReply,
    Kept,
    Known,
    NotBegun,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Run,
    Started,
    StartedReply,
    Ticket,
    TicketProblem,
    Void,
    Voided,
    VoidReply,
    VoidTicket,
    WitnessLost,
    WitnessRequest,
    parse_ticket,
)
from ..transport.callers import CallerRequest, IssuedTicket, RunAnswer, RunResult
from ..transport.callers import Pending as PendingAnswer
from ..transport.dialer import Dialer
from ..transport.web import BadRequestError
from .fleet import Fleet
from .owner import Owner
from .runsender import REPLY_GRACE_S, RunSender
from .ticketclient import NoReply, TicketClient

logger = logging.getLogger("lavendergap.once")

# Long enough for a channel to be found silent and for a try over a second one.
WITNESS_LIMIT_S = 1.5
OPEN_LIMIT_S = 0.25
ASK_LIMIT_S = 1.0
# After its deadline, a caller waits at most this much longer for the witness's reply.
LATE_REPLY_LIMIT_S = 0.25
CONFIRM_INTERVAL_S = 2.0
# More than the outcomes that one lost witness may leave unconfirmed within a ticket's
# lifetime, so that these do not keep other witnesses' outcomes from being sent.
MAX_CONFIRM_BATCH = 10_000
RECORD_DEADLINE_SHARE = 0.5
N_WITNESSES_TRIED = 3


@dataclass(kw_only=True, slots=True)
class Execution:
    """A request that its issuer is running; `done` is set once it has ended."""

    done: trio.Event = field(default_factory=trio.Event)


class RunLimits(Protocol):
    """The limits of customers, as the issuer of a ticket uses them."""

    async def run_ticket(
        self, name: str, deadline: float, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run a request within the limit of the customer called `name`."""


class TicketService:
    """This host's tickets: as issuer, as witness, and for callers and peers."""

    def __init__(
        self,
        *,
        peer: Peer,
        issuer: Issuer,
        witness: Witness,
        settings: Settings,
        fleet: Fleet,
        owner: Owner,
        dialer: Dialer,
        nursery: trio.Nursery,
        limits: RunLimits | None = None,
        may_begin: Callable[[float], bool] = lambda deadline: True,
    ) -> None:
        self._may_begin = may_begin
        self._limits = limits
        self._peer = peer
        self._issuer = issuer
        self._witness = witness
        self._settings = settings
        self._fleet = fleet
        self._nursery = nursery
        self._client = TicketClient(
            own=peer, fleet=fleet, dialer=dialer, nursery=nursery
        )
        self._sender = RunSender(
            own_host=peer.host,
            settings=settings,
            fleet=fleet,
            owner=owner,
            client=self._client,
        )
        self._executions: dict[int, Execution] = {}

    def replace(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self._sender.replace(settings)
        for each in (self._issuer, self._witness):
            each.max_tickets = settings.control.max_tickets
            each.ticket_lifetime_ms = settings.control.ticket_lifetime_ms

    @property
    def is_busy(self) -> bool:
        """Whether the request of a ticket issued here is running."""
        return bool(self._executions)

    # For callers.

    async def issue(self, request: CallerRequest) -> IssuedTicket | Refusal:
        """Issue a ticket, with a witness in another data centre if possible."""
        witness = await self._open_witness()
        issued = self._issuer.issue(
            service=request.service.name, witness=witness, now=trio.current_time()
        )
        if isinstance(issued, NotRun):
            return Refusal(request_id=request.request_id, outcome=issued)
        log_decision(
            logger,
            "ticket issued",
            request_id=request.request_id,
            service=request.service.name,
            serial=issued.serial,
            witness=witness.host if witness else "none",
        )
        return IssuedTicket(text=str(issued))

    async def run(self, request: CallerRequest, text: str) -> RunAnswer:
        """Have a ticket's request run by its issuer; return its outcome."""
        ticket = parse_ticket(text, service=request.service.name)
        if isinstance(ticket, BadTicket):
            return _make_bad_ticket_error(ticket.reason)
        reply = await self._run_at_issuer(ticket, request)
        left = request.deadline - trio.current_time()
        limit = min(ASK_LIMIT_S, max(LATE_REPLY_LIMIT_S, left))
        return await self._resolve(request.request_id, ticket, reply, limit=limit)

    async def look_up(self, request_id: str, text: str) -> RunAnswer:
        """Return the state or outcome of a ticket, without running it."""
        ticket = parse_ticket(text)
        if isinstance(ticket, BadTicket):
            return _make_bad_ticket_error(ticket.reason)
        reply = await self._ask_issuer(ticket)
        return await self._resolve(request_id, ticket, reply, limit=ASK_LIMIT_S)

    async def _resolve(
        self, request_id: str, ticket: Ticket, reply: IssuerReply, *, limit: float
    ) -> RunAnswer:
        verdict = resolve_by_issuer(ticket, reply)
        if isinstance(verdict, VoidTicket):
            said = await self._ask_witness_to_void(ticket, limit=limit)
            verdict = resolve_by_witness(ticket, said)
        log_decision(
            logger,
            "ticket resolved",
            request_id=request_id,
            issuer=ticket.issuer.host,
            serial=ticket.serial,
            issuer_reply=type(reply).__name__,
            verdict=_describe(verdict),
        )
        match verdict:
            case Rejected(reason=reason):
                return _make_bad_ticket_error(reason)
            case Pending(begun=begun):
                return PendingAnswer(
                    request_id=request_id, state="running" if begun else "not begun"
                )
            case Settled(outcome=outcome):
                return _make_answer(request_id, outcome)

    # As the issuer.

    async def _run_at_issuer(
        self, ticket: Ticket, request: CallerRequest
    ) -> IssuerReply:
        precedence = make_precedence(request.customer)
        if ticket.issuer == self._peer:
            return await self._run_here(
                ticket, request.body, request.deadline, precedence
            )
        left = max(0.0, request.deadline - trio.current_time())
        ask = TicketRequest(
            verb=RUN,
            ticket=str(ticket),
            body=request.body,
            left_ms=int(left * 1_000),
            precedence=precedence,
        )
        # The issuer answers by the deadline; its reply may arrive a little later.
        limit = left + REPLY_GRACE_S
        return _expect_issuer_reply(
            await self._client.ask(ticket.issuer, ask, limit=limit)
        )

    async def _run_here(
        self, ticket: Ticket, body: bytes, deadline: float, precedence: Precedence
    ) -> IssuerReply:
        begun = self._issuer.begin(ticket, body=body, now=trio.current_time())
        match begun:
            case Refused() | Known():
                return begun
            case AlreadyRunning():
                execution = self._executions.get(ticket.serial)
            case RecordStarted() | Run():
                execution = Execution()
                self._executions[ticket.serial] = execution
                # In a task of its own: the caller may cancel, but a request that has
                # started must run to its end and be recorded.
                self._nursery.start_soon(
                    self._execute, begun, body, deadline, precedence, execution
                )
        if execution is not None:
            with trio.move_on_at(deadline):
                await execution.done.wait()
        reply = self._issuer.ask(ticket, now=trio.current_time())
        if isinstance(reply, AlreadyRunning):
            # The caller gets an answer by its deadline. The request runs on, and its
            # outcome can be looked up by the ticket.
            unknown = Unknown(
                step=Step.RECEIVE, peer=self._peer.host, reason=Reason.DEADLINE
            )
            return Known(outcome=unknown)
        return reply

    async def _execute(
        self,
        begun: RecordStarted | Run,
        body: bytes,
        deadline: float,
        precedence: Precedence,
        execution: Execution,
    ) -> None:
        ticket = begun.ticket
        try:
            decided: Run | Known | AlreadyRunning = Run(ticket=ticket)
            if isinstance(begun, RecordStarted):
                limit = (deadline - trio.current_time()) * RECORD_DEADLINE_SHARE
                said = await self._send_started(begun, limit=limit)
                decided = self._issuer.record(ticket, said)
            if isinstance(decided, Run):
                outcome = await self._send(ticket, body, deadline, precedence)
                ended = self._issuer.end(ticket, outcome)
                self._nursery.start_soon(self._send_ended, ended)
        finally:
            del self._executions[ticket.serial]
            execution.done.set()

    async def _send(
        self, ticket: Ticket, body: bytes, deadline: float, precedence: Precedence
    ) -> Outcome:
        """Send a request that has not run, if its customer's limit allows it.

        Refused where the caller's request arrives, a repeat of one that has run would
        be answered "not run". Here it is recorded for the ticket, also if this process
        would end before the request.
        """
        if not self._may_begin(deadline):
            peer = self._peer.host
            return NotRun(step=Step.ADMIT, peer=peer, reason=Reason.STOPPING)
        send = partial(self._sender.send, ticket, body, deadline, precedence)
        if self._limits is None:
            return await send()
        return await self._limits.run_ticket(precedence.customer, deadline, send)

    async def _send_started(
        self, begun: RecordStarted, *, limit: float
    ) -> StartedReply:
        witness = begun.ticket.witness
        assert witness is not None
        reply = await self._ask_witness(witness, begun, limit=limit)
        match reply:
            case Ack() | Void() | Forgotten() | Refused():
                return reply
            case _:
                return WitnessLost()

    async def _send_ended(self, ended: RecordEnded) -> bool:
        """Send an outcome to its witness; return whether the witness replied."""
        witness = ended.ticket.witness
        if witness is None:
            return True
        reply = await self._ask_witness(witness, ended, limit=WITNESS_LIMIT_S)
        match reply:
            case Kept() | Forgotten() | NoReply.REPLACED:
                # Kept, or the witness's records are gone: it is not sent again.
                self._issuer.confirm(ended.ticket)
        return reply is not NoReply.LOST

    async def resend_unconfirmed(self) -> None:
        """Resend outcomes periodically until their witness confirms them."""
        while True:
            await trio.sleep(CONFIRM_INTERVAL_S)
            await self._send_to_witnesses(
                self._issuer.get_unconfirmed(limit=MAX_CONFIRM_BATCH)
            )

    async def drain(self, *, until: float = inf) -> None:
        """Start no more requests, and send all outcomes to the witnesses.

        Waits for running requests until a time on the event loop's clock: their
        outcomes would be lost with this process, and a planned stop would have them
        reported as unknown.
        """
        self._issuer.hand_over()
        with trio.move_on_at(until):
            while self._executions:
                await next(iter(self._executions.values())).done.wait()
        await self._send_to_witnesses(self._issuer.hand_over())

    async def _send_to_witnesses(
        self, messages: tuple[RecordEnded | CloseIssuer, ...]
    ) -> None:
        # Concurrently, so that one that does not answer delays no other.
        by_witness: dict[Peer, list[RecordEnded | CloseIssuer]] = defaultdict(list)
        for message in messages:
            witness = _get_witness(message)
            if witness is not None:
                by_witness[witness].append(message)
        async with trio.open_nursery() as nursery:
            for each in by_witness.values():
                nursery.start_soon(self._send_to_witness, each)

    async def _send_to_witness(self, messages: list[RecordEnded | CloseIssuer]) -> None:
        for message in messages:
            match message:
                case RecordEnded():
                    if not await self._send_ended(message):
                        return
                case CloseIssuer(witness=witness):
                    await self._ask_witness(witness, message, limit=WITNESS_LIMIT_S)

    # As the witness, and as a client of other witnesses.

    async def _open_witness(self) -> Peer | None:
        """Open this issuer at a witness, if possible in another data centre."""
        own = self._settings.get_host(self._peer.host)
        centres = {host.name: host.data_centre for host in self._settings.hosts}
        own_centre = own.data_centre if own else ""
        names = [name for name in self._fleet.live if name != self._peer.host]
        names.sort(key=lambda name: (centres.get(name) == own_centre, name))
        offset = self._peer.incarnation
        elsewhere = [name for name in names if centres.get(name) != own_centre] or names
        for turn in range(min(N_WITNESSES_TRIED, len(elsewhere))):
            host = elsewhere[(offset + turn) % len(elsewhere)]
            witness = await self._open_at(host)
            if witness is not None:
                return witness
        return None

    async def _open_at(self, host: str) -> Peer | None:
        channel = await self._client.open_verified(host, limit=OPEN_LIMIT_S)
        # The records of a stopping process would be lost.
        if channel is None or channel.peer is None or channel.is_leaving:
            return None
        witness = Peer(host=host, incarnation=channel.peer.incarnation)
        if self._issuer.is_open(witness):
            return witness
        opening = self._issuer.open(witness)
        reply = await self._ask_witness(witness, opening, limit=OPEN_LIMIT_S)
        if not isinstance(reply, Kept):
            return None
        self._issuer.confirm_open(witness)
        return witness

    async def _ask_witness_to_void(self, ticket: Ticket, *, limit: float) -> VoidReply:
        if ticket.witness is None:
            return WitnessLost()
        order = VoidTicket(ticket=ticket)
        reply = await self._ask_witness(ticket.witness, order, limit=limit)
        match reply:
            case Voided() | Started() | Forgotten() | Refused():
                return reply
            case _:
                return WitnessLost()

    async def _ask_witness(
        self, witness: Peer, request: WitnessRequest, *, limit: float
    ) -> Reply | NoReply:
        if witness == self._peer:
            return self._witness.answer(request, now=trio.current_time())
        return await self._client.ask(witness, encode_request(request), limit=limit)

    async def _ask_issuer(self, ticket: Ticket) -> IssuerReply:
        if ticket.issuer == self._peer:
            return self._issuer.ask(ticket, now=trio.current_time())
        ask = TicketRequest(verb=ASK, ticket=str(ticket))
        return _expect_issuer_reply(
            await self._client.ask(ticket.issuer, ask, limit=ASK_LIMIT_S)
        )

    # For peers.

    async def answer(self, ask: TicketRequest) -> TicketReply:
        """Answer a peer's message about a ticket."""
        return encode_reply(await self._answer(ask))

    async def _answer(self, ask: TicketRequest) -> Reply:
        now = trio.current_time()
        try:
            if ask.verb in WITNESS_VERBS:
                return self._witness.answer(decode_request(ask), now=now)
            if ask.verb == PING:
                return Kept()
            ticket = read_ticket(ask)
        except BadFrameError:
            return Refused(reason=TicketProblem.MALFORMED)
        if ask.verb == RUN:
            deadline = now + ask.left_ms / 1_000
            return await self._run_here(ticket, ask.body, deadline, ask.precedence)
        if ask.verb == ASK:
            return self._issuer.ask(ticket, now=now)
        return Refused(reason=TicketProblem.MALFORMED)


def _describe(verdict: Settled | Pending | Rejected) -> str:
    match verdict:
        case Settled(outcome=NotRun(reason=reason) | Unknown(reason=reason)):
            return f"{name_outcome(verdict.outcome)}: {reason.value}"
        case Settled():
            return "answered"
        case Pending():
            return "pending"
        case Rejected(reason=problem):
            return f"rejected: {problem.value}"


def _make_answer(request_id: str, outcome: Outcome) -> RunAnswer:
    match outcome:
        case Answered(body=body):
            return RunResult(request_id=request_id, result=body)
        case NotRun() | Unknown():
            return Refusal(request_id=request_id, outcome=outcome)


def _get_witness(message: RecordEnded | CloseIssuer) -> Peer | None:
    match message:
        case RecordEnded(ticket=ticket):
            return ticket.witness
        case CloseIssuer(witness=witness):
            return witness


def _expect_issuer_reply(reply: Reply | NoReply) -> IssuerReply:
    match reply:
        case Known() | AlreadyRunning() | NotBegun() | Refused():
            return reply
        case _:
            return IssuerLost()


def _make_bad_ticket_error(problem: TicketProblem) -> BadRequestError:
    return BadRequestError(
        status=HTTPStatus.UNPROCESSABLE_ENTITY,
        problem="bad ticket",
        detail=f"{problem.value}: take a new ticket from /tickets",
    )
