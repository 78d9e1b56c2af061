"""The issuer of tickets: the one process that may run the requests of its tickets."""

from dataclasses import dataclass, replace
from hashlib import blake2b
from itertools import islice

from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.ticket import (
    Ack,
    AlreadyRunning,
    CloseIssuer,
    Forgotten,
    Known,
    NotBegun,
    OpenIssuer,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Run,
    StartedReply,
    Ticket,
    TicketProblem,
    Void,
    WitnessLost,
    compute_mac,
    is_ticket_name,
    verify_mac,
)
from .answersizes import MAX_KEPT_ANSWER_BYTES, AnswerSizes

DIGEST_BYTES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class _Unused:
    ticket: Ticket
    since: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Recording:
    ticket: Ticket
    since: float
    digest: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class _Running:
    ticket: Ticket
    since: float
    digest: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class _Ended:
    ticket: Ticket
    since: float
    digest: bytes
    outcome: Outcome


_Begun = _Recording | _Running | _Ended
_Record = _Unused | _Begun


class Issuer:
    """Issues tickets and decides, once for each, whether its request runs.

    Each process has one. It does no I/O: the caller of these methods carries the
    messages to the witness and runs the request when `Run` is returned. `now` is in
    seconds on a monotonic clock. `secret` is 16 to 64 random bytes made for this
    process alone. At most `max_tickets` tickets of the last `ticket_lifetime_ms` are
    held; at the limit no ticket is issued. When stored answers exceed `max_body_bytes`,
    the oldest is dropped and its outcome becomes unknown.

    >>> from lavendergap.state.outcome import Answered
    >>> from lavendergap.state.ticket import Peer
    >>> issuer = Issuer(
    ...     peer=Peer(host="ptl-a-1", incarnation=7), secret=b"k" * 32,
    ...     max_tickets=100, ticket_lifetime_ms=600_000)
    >>> witness = Peer(host="sea-a-1", incarnation=9)
    >>> opening = issuer.open(witness)  # Send it; the witness replies `Kept`.
    >>> issuer.confirm_open(witness)
    >>> ticket = issuer.issue(service="sponsor-ledger", witness=witness, now=0.0)
    >>> issuer.begin(ticket, body=b"{}", now=1.0) == RecordStarted(ticket=ticket)
    True
    >>> issuer.record(ticket, Ack()) == Run(ticket=ticket)
    True
    >>> message = issuer.end(ticket, Answered(body=b"booked"))
    >>> issuer.begin(ticket, body=b"{}", now=2.0).outcome.body
    b'booked'
    """

    def __init__(
        self,
        *,
        peer: Peer,
        secret: bytes,
        max_tickets: int,
        ticket_lifetime_ms: int,
        max_body_bytes: int = MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self.peer = peer
        self.max_tickets = max_tickets
        self.ticket_lifetime_ms = ticket_lifetime_ms
        self._secret = secret
        self._last_serial = 0
        # Ordered by `since`, so that expired records come first.
        self._records: dict[int, _Record] = {}
        self._unconfirmed: dict[int, None] = {}
        self._witnesses: dict[str, Peer] = {}
        self._bodies = AnswerSizes[int](max_bytes=max_body_bytes)
        self._closed = False

    def __len__(self) -> int:
        """Return the number of tickets held."""
        return len(self._records)

    def open(self, witness: Peer) -> OpenIssuer:
        """Return the message that registers this issuer with a witness.

        Send it before the first ticket that names this witness; upon `Kept`, call
        `confirm_open`. Until then the witness refuses to record a start, and the
        request's outcome would be "not run".
        """
        return OpenIssuer(issuer=self.peer, witness=witness, secret=self._secret)

    def confirm_open(self, witness: Peer) -> None:
        """Note that a witness, perhaps restarted, has registered this issuer."""
        self._witnesses[witness.host] = witness

    def is_open(self, witness: Peer) -> bool:
        """Return whether tickets may name this witness."""
        return self._witnesses.get(witness.host) == witness

    def issue(
        self, *, service: str, witness: Peer | None, now: float
    ) -> Ticket | NotRun:
        """Return a new ticket, or the reason why none is issued.

        Raises ValueError for a name that a ticket cannot contain.
        """
        self._drop_expired(now)
        if self._closed:
            return self._build_not_run(Reason.STOPPING)
        if len(self._records) >= self.max_tickets:
            return self._build_not_run(Reason.OVERLOADED, self._compute_wait_ms(now))
        ticket = self._make_ticket(service, witness)
        self._records[ticket.serial] = _Unused(ticket=ticket, since=now)
        return ticket

    def begin(
        self, ticket: Ticket, *, body: bytes, now: float
    ) -> RecordStarted | Run | AlreadyRunning | Known | Refused:
        """Handle a request with its ticket, the first time or a repeat.

        After `RecordStarted`, pass the reply of the witness to `record`. A repeat never
        runs; it shares the outcome of the first.
        """
        problem = self._find_problem(ticket)
        if problem is not None:
            return Refused(reason=problem)
        self._drop_expired(now)
        digest = blake2b(body, digest_size=DIGEST_BYTES).digest()
        match self._records.get(ticket.serial):
            case None:
                return Known(outcome=self._build_expired())
            case _Unused():
                return self._begin_first(ticket, digest, now)
            case _Recording() | _Running() | _Ended() as record if (
                record.digest != digest
            ):
                return Refused(reason=TicketProblem.OTHER_BODY)
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _:
                return AlreadyRunning()

    def ask(
        self, ticket: Ticket, *, now: float
    ) -> NotBegun | AlreadyRunning | Known | Refused:
        """Return the present state of a ticket without starting its request."""
        problem = self._find_problem(ticket)
        if problem is not None:
            return Refused(reason=problem)
        self._drop_expired(now)
        match self._records.get(ticket.serial):
            case None:
                return Known(outcome=self._build_expired())
            case _Unused():
                return NotBegun()
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _:
                return AlreadyRunning()

    def record(
        self, ticket: Ticket, reply: StartedReply
    ) -> Run | AlreadyRunning | Known:
        """Handle the witness's reply: `Run` upon the first `Ack`, else not run.

        Without an `Ack` the witness may void the ticket, and any host may then answer
        "not run". So the request must not run, now or later: "not run" is recorded here
        first, and a late `Ack` finds that outcome.
        """
        record = self._records.get(ticket.serial)
        match record:
            case None:
                return Known(outcome=self._build_expired())
            case _Recording():
                return self._handle_start_reply(record, reply)
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _Running():
                return AlreadyRunning()
            case _Unused():
                raise ValueError(f"ticket {ticket.serial}: no request has begun")

    def end(self, ticket: Ticket, outcome: Outcome) -> RecordEnded:
        """Store the outcome of a run for repeats; return the message for the witness.

        A later outcome replaces an unknown one and no other. An outcome that comes
        after its record has expired goes to the witness alone. Raises ValueError for a
        ticket that has not run.
        """
        record = self._records.get(ticket.serial)
        match record:
            case _Running() | _Ended(outcome=Unknown()):
                self._store_outcome(record, outcome)
                return RecordEnded(ticket=ticket, outcome=outcome)
            case _Ended(outcome=stored):
                return RecordEnded(ticket=ticket, outcome=stored)
            case None:
                return RecordEnded(ticket=ticket, outcome=outcome)
            case _:
                raise ValueError(f"ticket {ticket.serial} has not run")

    def confirm(self, ticket: Ticket) -> None:
        """Note that the witness has the outcome, or has dropped the ticket."""
        self._unconfirmed.pop(ticket.serial, None)

    def get_unconfirmed(self, *, limit: int) -> tuple[RecordEnded, ...]:
        """Return up to `limit` outcomes that the witness has not confirmed.

        Send them periodically: the outcome of a request that was given up because its
        witness did not answer reaches the witness this way, too.
        """
        ended = (self._records[serial] for serial in islice(self._unconfirmed, limit))
        return tuple(
            RecordEnded(ticket=record.ticket, outcome=record.outcome)
            for record in ended
            if isinstance(record, _Ended)
        )

    def hand_over(self) -> tuple[RecordEnded | CloseIssuer, ...]:
        """Close for a planned stop; return the messages for the witnesses.

        Call it when all running requests have ended. From then on nothing starts:
        unused tickets and those still being recorded are "not run", here and, through
        `CloseIssuer`, at each witness.
        """
        self._closed = True
        for record in list(self._records.values()):
            if isinstance(record, _Recording):
                self._store_outcome(record, self._build_not_run(Reason.STOPPING))
        closings = tuple(
            CloseIssuer(issuer=self.peer, witness=witness)
            for witness in self._witnesses.values()
        )
        return self.get_unconfirmed(limit=len(self._unconfirmed)) + closings

    def _begin_first(
        self, ticket: Ticket, digest: bytes, now: float
    ) -> RecordStarted | Run | Known:
        # Deleted and set again: the record moves behind all older ones.
        del self._records[ticket.serial]
        recording = _Recording(ticket=ticket, since=now, digest=digest)
        self._records[ticket.serial] = recording
        if self._closed:
            outcome = self._build_not_run(Reason.STOPPING)
            self._store_outcome(recording, outcome)
            return Known(outcome=outcome)
        if ticket.witness is None:
            return self._run(recording)
        return RecordStarted(ticket=ticket)

    def _run(self, record: _Recording) -> Run:
        self._records[record.ticket.serial] = _Running(
            ticket=record.ticket, since=record.since, digest=record.digest
        )
        return Run(ticket=record.ticket)

    def _handle_start_reply(
        self, record: _Recording, reply: StartedReply
    ) -> Run | Known:
        match reply:
            case Ack():
                return self._run(record)
            case Void():
                reason = Reason.VOID
            case Forgotten() | Refused():
                reason = Reason.EXPIRED
            case WitnessLost():
                reason = Reason.WITNESS_LOST
        witness = record.ticket.witness
        peer = self.peer.host if witness is None else witness.host
        outcome = NotRun(step=Step.RECORD, peer=peer, reason=reason)
        self._store_outcome(record, outcome)
        return Known(outcome=outcome)

    def _store_outcome(self, record: _Begun, outcome: Outcome) -> None:
        serial = record.ticket.serial
        self._set_outcome(record, outcome)
        if record.ticket.witness is not None:
            self._unconfirmed[serial] = None
        for dropped in self._bodies.add(serial, outcome):
            ended = self._records[dropped]
            if isinstance(ended, _Ended):
                self._set_outcome(ended, self._build_expired())
                self._unconfirmed.pop(dropped, None)

    def _set_outcome(self, record: _Begun, outcome: Outcome) -> None:
        self._records[record.ticket.serial] = _Ended(
            ticket=record.ticket,
            since=record.since,
            digest=record.digest,
            outcome=outcome,
        )

    def _find_problem(self, ticket: Ticket) -> TicketProblem | None:
        if ticket.issuer != self.peer:
            return TicketProblem.OTHER_ISSUER
        if not verify_mac(ticket, self._secret):
            return TicketProblem.FORGED
        return None

    def _make_ticket(self, service: str, witness: Peer | None) -> Ticket:
        names = [service, self.peer.host]
        if witness is not None:
            names.append(witness.host)
        for name in names:
            if not is_ticket_name(name):
                raise ValueError(f"name {name!r} is not allowed in a ticket")
        self._last_serial += 1
        unsigned = Ticket(
            service=service,
            issuer=self.peer,
            serial=self._last_serial,
            witness=witness,
            mac="",
        )
        return replace(unsigned, mac=compute_mac(unsigned, self._secret))

    def _drop_expired(self, now: float) -> None:
        lifetime = self.ticket_lifetime_ms / 1000
        while self._records:
            serial, record = next(iter(self._records.items()))
            if now - record.since < lifetime:
                return
            del self._records[serial]
            match record:
                case _Recording() | _Running():
                    # A request that may still run keeps its record, whatever its age.
                    self._records[serial] = replace(record, since=now)
                case _:
                    self._unconfirmed.pop(serial, None)
                    self._bodies.discard(serial)

    def _compute_wait_ms(self, now: float) -> int:
        oldest = next(iter(self._records.values()), None)
        if oldest is None:
            return 0
        return max(0, self.ticket_lifetime_ms - int((now - oldest.since) * 1000))

    def _build_expired(self) -> Unknown:
        """Return "unknown" for a genuine ticket without a record: it may have run."""
        return Unknown(step=Step.RECORD, peer=self.peer.host, reason=Reason.EXPIRED)

    def _build_not_run(self, reason: Reason, retry_after_ms: int = 0) -> NotRun:
        return NotRun(
            step=Step.RECORD,
            peer=self.peer.host,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
