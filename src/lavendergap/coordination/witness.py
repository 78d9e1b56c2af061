"""The witness of tickets: it records them as started by their issuer, or voids them."""

from dataclasses import dataclass, field

from ..state.outcome import Outcome, Unknown
from ..state.ticket import (
    Ack,
    CloseIssuer,
    Forgotten,
    Kept,
    KeptReply,
    OpenIssuer,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Started,
    StartedReply,
    Ticket,
    TicketProblem,
    Void,
    Voided,
    VoidReply,
    VoidTicket,
    WitnessRequest,
    verify_mac,
)
from .answersizes import MAX_KEPT_ANSWER_BYTES, AnswerSizes

MAX_ISSUERS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class _StartedRecord:
    since: float
    outcome: Outcome | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _VoidRecord:
    since: float


_Record = _StartedRecord | _VoidRecord


@dataclass(kw_only=True, slots=True)
class _IssuerState:
    """What is held about one incarnation of an issuer.

    `floor` is the highest serial whose record was dropped.
    """

    secret: bytes
    floor: int = 0
    closed: bool = False
    tickets: dict[Ticket, None] = field(default_factory=dict)


class Witness:
    """Records each ticket as either started or void, never both.

    Each process has one. "Started" and "void" exclude each other because one process
    decides both and handles one message at a time. At most `max_tickets` records, of
    the last `ticket_lifetime_ms`, are held, of at most `max_issuers` issuers, with
    `max_body_bytes` of answers. `now` is in seconds on a monotonic clock.

    >>> from lavendergap.coordination.issuer import Issuer
    >>> from lavendergap.state.ticket import Peer
    >>> issuer = Issuer(
    ...     peer=Peer(host="ptl-a-1", incarnation=7), secret=b"k" * 32,
    ...     max_tickets=100, ticket_lifetime_ms=600_000)
    >>> me = Peer(host="sea-a-1", incarnation=9)
    >>> witness = Witness(peer=me, max_tickets=100, ticket_lifetime_ms=600_000)
    >>> witness.answer(issuer.open(me), now=0.0)
    Kept()
    >>> ticket = issuer.issue(service="sponsor-ledger", witness=me, now=0.0)
    >>> witness.void(ticket, now=1.0)
    Voided()
    >>> witness.start(ticket, now=1.1)
    Void()
    """

    def __init__(
        self,
        *,
        peer: Peer,
        max_tickets: int,
        ticket_lifetime_ms: int,
        max_issuers: int = MAX_ISSUERS,
        max_body_bytes: int = MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self.peer = peer
        self.max_tickets = max_tickets
        self.ticket_lifetime_ms = ticket_lifetime_ms
        self.max_issuers = max_issuers
        # Ordered by `since`, so that expired records come first.
        self._records: dict[Ticket, _Record] = {}
        # Ordered by the last message, the least recent first.
        self._issuers: dict[Peer, _IssuerState] = {}
        self._dropped_incarnation = -1
        self._bodies = AnswerSizes[Ticket](max_bytes=max_body_bytes)

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._records)

    def answer(
        self, request: WitnessRequest, *, now: float
    ) -> StartedReply | VoidReply | KeptReply:
        """Handle any request received over the channel between hosts."""
        match request:
            case OpenIssuer():
                return self.open(request, now=now)
            case RecordStarted(ticket=ticket):
                return self.start(ticket, now=now)
            case VoidTicket(ticket=ticket):
                return self.void(ticket, now=now)
            case RecordEnded(ticket=ticket, outcome=outcome):
                return self.end(ticket, outcome, now=now)
            case CloseIssuer():
                return self.close(request, now=now)

    def start(self, ticket: Ticket, *, now: float) -> StartedReply:
        """Record a ticket as started, unless it is void or may have been.

        A repeat is acknowledged again: the issuer runs on its first `Ack` only.
        """
        state = self._find_state(ticket, now)
        if not isinstance(state, _IssuerState):
            return state
        match self._records.get(ticket):
            case _StartedRecord():
                return Ack()
            case _VoidRecord():
                return Void()
            case None if ticket.serial <= state.floor:
                return Forgotten()
            case None if state.closed:
                return Void()
            case None:
                self._add(ticket, _StartedRecord(since=now), state)
                return Ack()

    def void(self, ticket: Ticket, *, now: float) -> VoidReply:
        """Void a ticket, unless it was started or may have been.

        After `Voided` the request has not run and never will, since its issuer
        runs nothing without an `Ack` from here.
        """
        state = self._find_state(ticket, now)
        if not isinstance(state, _IssuerState):
            return state
        match self._records.get(ticket):
            case _StartedRecord(outcome=outcome):
                return Started(outcome=outcome)
            case _VoidRecord():
                return Voided()
            case None if ticket.serial <= state.floor:
                return Forgotten()
            case None if state.closed:
                return Voided()
            case None:
                self._add(ticket, _VoidRecord(since=now), state)
                return Voided()

    def end(self, ticket: Ticket, outcome: Outcome, *, now: float) -> KeptReply:
        """Store the outcome of a started ticket, for callers that ask for it.

        A later outcome replaces an unknown one and no other.
        """
        state = self._find_state(ticket, now)
        if not isinstance(state, _IssuerState):
            return state
        match self._records.get(ticket):
            case _StartedRecord(since=since, outcome=None | Unknown()):
                self._records[ticket] = _StartedRecord(since=since, outcome=outcome)
                self._store_body(ticket, outcome)
            case _StartedRecord() | _VoidRecord():
                pass
            case None if ticket.serial <= state.floor:
                return Forgotten()
            case None:
                # The issuer gave up the request before the record of its start arrived.
                record = _StartedRecord(since=now, outcome=outcome)
                self._add(ticket, record, state)
                self._store_body(ticket, outcome)
        return Kept()

    def open(self, opening: OpenIssuer, *, now: float) -> KeptReply:
        """Register an issuer, unless it is no newer than one that was dropped."""
        if opening.witness != self.peer:
            return Forgotten()
        if opening.issuer in self._issuers:
            return Kept()
        # A late or repeated `OpenIssuer` must not register an issuer again whose
        # records were dropped: a voided ticket of it could then start. Its incarnation
        # is at or below the highest dropped one, so it is refused.
        if opening.issuer.incarnation <= self._dropped_incarnation:
            return Forgotten()
        if len(self._issuers) >= self.max_issuers:
            self._drop_issuer()
        self._issuers[opening.issuer] = _IssuerState(secret=opening.secret)
        return Kept()

    def close(self, closing: CloseIssuer, *, now: float) -> KeptReply:
        """Note that a stopping issuer starts no further tickets."""
        if closing.witness != self.peer:
            return Forgotten()
        state = self._issuers.get(closing.issuer)
        if state is None:
            return Forgotten()
        state.closed = True
        return Kept()

    def _find_state(
        self, ticket: Ticket, now: float
    ) -> _IssuerState | Forgotten | Refused:
        # A restarted host keeps its name but none of its records. Without this check it
        # would void a ticket that its former process recorded as started, and a caller
        # would get "not run" for a booking that ran.
        if ticket.witness != self.peer:
            return Forgotten()
        self._drop_expired(now)
        state = self._issuers.pop(ticket.issuer, None)
        if state is None:
            return Forgotten()
        self._issuers[ticket.issuer] = state
        if not verify_mac(ticket, state.secret):
            return Refused(reason=TicketProblem.FORGED)
        return state

    def _drop_issuer(self) -> None:
        # The least recently active issuer is dropped. New processes are still accepted,
        # because incarnations grow with the time of start.
        issuer = next(iter(self._issuers))
        state = self._issuers.pop(issuer)
        for ticket in state.tickets:
            del self._records[ticket]
            self._bodies.discard(ticket)
        self._dropped_incarnation = max(self._dropped_incarnation, issuer.incarnation)

    def _store_body(self, ticket: Ticket, outcome: Outcome) -> None:
        for dropped in self._bodies.add(ticket, outcome):
            since = self._records[dropped].since
            self._records[dropped] = _StartedRecord(since=since)

    def _add(self, ticket: Ticket, record: _Record, state: _IssuerState) -> None:
        while len(self._records) >= self.max_tickets:
            self._drop_oldest()
        self._records[ticket] = record
        state.tickets[ticket] = None

    def _drop_expired(self, now: float) -> None:
        lifetime = self.ticket_lifetime_ms / 1000
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.since < lifetime:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        # A ticket at or below the floor without a record is `Forgotten`: a dropped
        # "started" is never reported void, and a dropped "void" never starts. Serials
        # only grow, so the tickets in use are above the floor.
        ticket = next(iter(self._records))
        del self._records[ticket]
        self._bodies.discard(ticket)
        state = self._issuers[ticket.issuer]
        del state.tickets[ticket]
        state.floor = max(state.floor, ticket.serial)
