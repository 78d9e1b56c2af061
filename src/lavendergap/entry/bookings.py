"""Requests that must run at most once: tickets issued, run, witnessed, asked after.

The decisions are in coordination.issuer, witness and resolution; this module carries
their messages between hosts and runs a request when, and only when, its issuer says
so.
"""

import logging
from collections import defaultdict
from dataclasses import dataclass, field
from http import HTTPStatus

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
from ..protocol.messages import BadFrameError, TicketAsk, TicketReply
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
from ..transport.callers import CallerRequest, RunAnswer, RunResult, TicketText
from ..transport.callers import Pending as PendingAnswer
from ..transport.dialer import Dialer
from ..transport.web import BadRequestError
from .fleet import Fleet
from .owner import Owner
from .runs import WORDS_LIMIT, RunSender
from .ticketclient import TicketClient, Unreached

logger = logging.getLogger("lavendergap.once")

# Long enough for a channel to judge itself silent and for a second one.
WITNESS_LIMIT = 1.5
OPEN_LIMIT = 0.25
ASK_LIMIT = 1.0
# A caller whose deadline has passed waits this much longer for the witness's proof.
PROOF_LIMIT = 0.25
CONFIRM_INTERVAL = 2.0
# Above what one lost witness may leave within a ticket's lifetime, so that its
# outcomes do not keep those of the others from being sent.
CONFIRM_BATCH = 10_000
RECORD_SHARE = 0.5
N_WITNESSES_TRIED = 3


@dataclass(kw_only=True, slots=True)
class Execution:
    """A request that its issuer runs now; `done` is set with the reply."""

    done: trio.Event = field(default_factory=trio.Event)


class Bookings:
    """This host as issuer, as witness, and as whoever is asked about a ticket."""

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
    ) -> None:
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
        """Put new settings in force."""
        self._settings = settings
        self._sender.replace(settings)
        for keeper in (self._issuer, self._witness):
            keeper.max_tickets = settings.control.max_tickets
            keeper.ticket_lifetime_ms = settings.control.ticket_lifetime_ms

    @property
    def is_busy(self) -> bool:
        """Whether a request of a ticket issued here is being run."""
        return bool(self._executions)

    # For callers.

    async def issue(self, request: CallerRequest) -> TicketText | Refusal:
        """Issue a ticket whose witness stands in another data centre if one can."""
        witness = await self._open_witness()
        issued = self._issuer.issue(
            service=request.service.name, witness=witness, now=trio.current_time()
        )
        if isinstance(issued, NotRun):
            return Refusal(request_id=request.request_id, outcome=issued)
        log_decision(
            logger,
            "issue",
            request_id=request.request_id,
            service=request.service.name,
            serial=issued.serial,
            witness=witness.host if witness else "none",
        )
        return TicketText(text=str(issued))

    async def run(self, request: CallerRequest, text: str) -> RunAnswer:
        """Run a ticket's request at its issuer, or tell what became of it."""
        ticket = parse_ticket(text, service=request.service.name)
        if isinstance(ticket, BadTicket):
            return _reject(ticket.reason)
        reply = await self._run_at_issuer(ticket, request.body, request.deadline)
        left = request.deadline - trio.current_time()
        limit = min(ASK_LIMIT, max(PROOF_LIMIT, left))
        return await self._conclude(request.request_id, ticket, reply, limit=limit)

    async def look_up(self, request_id: str, text: str) -> RunAnswer:
        """Tell what has become of a ticket; never runs anything."""
        ticket = parse_ticket(text)
        if isinstance(ticket, BadTicket):
            return _reject(ticket.reason)
        reply = await self._ask_issuer(ticket)
        return await self._conclude(request_id, ticket, reply, limit=ASK_LIMIT)

    async def _conclude(
        self, request_id: str, ticket: Ticket, reply: IssuerReply, *, limit: float
    ) -> RunAnswer:
        verdict = resolve_by_issuer(ticket, reply)
        if isinstance(verdict, VoidTicket):
            said = await self._ask_witness_to_void(ticket, limit=limit)
            verdict = resolve_by_witness(ticket, said)
        log_decision(
            logger,
            "ticket",
            request_id=request_id,
            issuer=ticket.issuer.host,
            serial=ticket.serial,
            said=type(reply).__name__,
            verdict=_describe(verdict),
        )
        match verdict:
            case Rejected(reason=reason):
                return _reject(reason)
            case Pending(begun=begun):
                return PendingAnswer(
                    request_id=request_id, state="running" if begun else "not begun"
                )
            case Settled(outcome=outcome):
                return _render(request_id, outcome)

    # As the issuer.

    async def _run_at_issuer(
        self, ticket: Ticket, body: bytes, deadline: float
    ) -> IssuerReply:
        if ticket.issuer == self._peer:
            return await self._run_here(ticket, body, deadline)
        left = max(0.0, deadline - trio.current_time())
        ask = TicketAsk(
            verb=RUN, ticket=str(ticket), body=body, left_ms=int(left * 1_000)
        )
        # The issuer answers by the deadline; the time after it is for its words.
        limit = left + WORDS_LIMIT
        return _take_issuer(await self._client.ask(ticket.issuer, ask, limit=limit))

    async def _run_here(
        self, ticket: Ticket, body: bytes, deadline: float
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
                # In a task of its own: the caller may leave midway, and what has
                # begun must come to its end and be recorded all the same.
                self._nursery.start_soon(
                    self._execute, begun, body, deadline, execution
                )
        if execution is not None:
            with trio.move_on_at(deadline):
                await execution.done.wait()
        reply = self._issuer.ask(ticket, now=trio.current_time())
        if isinstance(reply, AlreadyRunning):
            # By its deadline the caller gets an answer; the request runs on, and
            # what becomes of it is told to whoever asks after the ticket.
            doubt = Unknown(
                step=Step.RECEIVE, peer=self._peer.host, reason=Reason.DEADLINE
            )
            return Known(outcome=doubt)
        return reply

    async def _execute(
        self,
        begun: RecordStarted | Run,
        body: bytes,
        deadline: float,
        execution: Execution,
    ) -> None:
        ticket = begun.ticket
        try:
            decided: Run | Known | AlreadyRunning = Run(ticket=ticket)
            if isinstance(begun, RecordStarted):
                limit = (deadline - trio.current_time()) * RECORD_SHARE
                said = await self._record_started(begun, limit=limit)
                decided = self._issuer.record(ticket, said)
            if isinstance(decided, Run):
                outcome = await self._sender.send(ticket, body, deadline)
                ended = self._issuer.end(ticket, outcome)
                self._nursery.start_soon(self._record_ended, ended)
        finally:
            del self._executions[ticket.serial]
            execution.done.set()

    async def _record_started(
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

    async def _record_ended(self, ended: RecordEnded) -> bool:
        """Give the witness an outcome; return whether it could be reached."""
        witness = ended.ticket.witness
        if witness is None:
            return True
        reply = await self._ask_witness(witness, ended, limit=WITNESS_LIMIT)
        match reply:
            case Kept() | Forgotten() | Unreached.REPLACED:
                # Where the records are gone for good, sending again is of no use.
                self._issuer.confirm(ended.ticket)
        return reply is not Unreached.LOST

    async def keep_confirming(self) -> None:
        """Send outcomes again, now and then, until their witness has them."""
        while True:
            await trio.sleep(CONFIRM_INTERVAL)
            await self._tell_witnesses(
                self._issuer.get_unconfirmed(limit=CONFIRM_BATCH)
            )

    async def hand_over(self) -> None:
        """Give the witnesses all that others may ask about; nothing starts after.

        What has begun is waited for: its outcome would else end with this process,
        and a request that ran would be told as unknown because of a planned stop.
        """
        self._issuer.hand_over()
        while self._executions:
            await next(iter(self._executions.values())).done.wait()
        await self._tell_witnesses(self._issuer.hand_over())

    async def _tell_witnesses(
        self, messages: tuple[RecordEnded | CloseIssuer, ...]
    ) -> None:
        # Side by side, so that one that does not answer costs the others no time.
        by_witness: dict[Peer, list[RecordEnded | CloseIssuer]] = defaultdict(list)
        for message in messages:
            witness = _get_witness(message)
            if witness is not None:
                by_witness[witness].append(message)
        async with trio.open_nursery() as nursery:
            for each in by_witness.values():
                nursery.start_soon(self._tell_witness, each)

    async def _tell_witness(self, messages: list[RecordEnded | CloseIssuer]) -> None:
        for message in messages:
            match message:
                case RecordEnded():
                    if not await self._record_ended(message):
                        return
                case CloseIssuer(witness=witness):
                    await self._ask_witness(witness, message, limit=WITNESS_LIMIT)

    # As the witness, and as whoever asks one.

    async def _open_witness(self) -> Peer | None:
        """Return a witness that holds this issuer, in another data centre if any."""
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
        channel = await self._client.reach_proved(host, limit=OPEN_LIMIT)
        # One that is stopping would take its records along.
        if channel is None or channel.peer is None or channel.is_leaving:
            return None
        witness = Peer(host=host, incarnation=channel.peer.incarnation)
        if self._issuer.is_open(witness):
            return witness
        opening = self._issuer.open(witness)
        reply = await self._ask_witness(witness, opening, limit=OPEN_LIMIT)
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
    ) -> Reply | Unreached:
        if witness == self._peer:
            return self._witness.answer(request, now=trio.current_time())
        return await self._client.ask(witness, encode_request(request), limit=limit)

    async def _ask_issuer(self, ticket: Ticket) -> IssuerReply:
        if ticket.issuer == self._peer:
            return self._issuer.ask(ticket, now=trio.current_time())
        ask = TicketAsk(verb=ASK, ticket=str(ticket))
        return _take_issuer(await self._client.ask(ticket.issuer, ask, limit=ASK_LIMIT))

    # For peers.

    async def answer(self, ask: TicketAsk) -> TicketReply:
        """Answer a peer's order or question about a ticket."""
        return encode_reply(await self._answer(ask))

    async def _answer(self, ask: TicketAsk) -> Reply:
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
            return await self._run_here(ticket, ask.body, deadline)
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


def _render(request_id: str, outcome: Outcome) -> RunAnswer:
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


def _take_issuer(reply: Reply | Unreached) -> IssuerReply:
    match reply:
        case Known() | AlreadyRunning() | NotBegun() | Refused():
            return reply
        case _:
            return IssuerLost()


def _reject(problem: TicketProblem) -> BadRequestError:
    return BadRequestError(
        status=HTTPStatus.UNPROCESSABLE_ENTITY,
        problem="bad ticket",
        detail=f"{problem.value}: take a new ticket from /tickets",
    )
