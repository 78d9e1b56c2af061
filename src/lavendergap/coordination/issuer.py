"""The issuer of tickets: the one process that may run the requests they stand for."""

from dataclasses import dataclass, replace
from hashlib import blake2b

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
    """`digest` is None for a ticket that was given up before any request came."""

    ticket: Ticket
    since: float
    digest: bytes | None
    outcome: Outcome
    confirmed: bool


_Record = _Unused | _Recording | _Running | _Ended


class Issuer:
    """Issues tickets and decides, once for each, whether its request runs.

    One for each process. It does no I/O: the caller of these methods carries the
    messages to the witness and runs the request when told `Run`. `now` is in
    seconds on a clock that never goes back. `secret` is 16 to 64 random bytes made
    for this process alone. At most `max_tickets` tickets of the last
    `ticket_lifetime_ms` are held; beyond that no ticket is issued.

    >>> from lavendergap.state.outcome import Answered
    >>> from lavendergap.state.ticket import Peer
    >>> issuer = Issuer(
    ...     peer=Peer(host="ptl-a-1", incarnation=7), secret=b"k" * 32,
    ...     max_tickets=100, ticket_lifetime_ms=600_000)
    >>> witness = Peer(host="sea-a-1", incarnation=9)
    >>> opening = issuer.open(witness)
    >>> ticket = issuer.issue(service="sponsor-ledger", witness=witness, now=0.0)
    >>> issuer.begin(ticket, body=b"{}", now=1.0) == RecordStarted(ticket=ticket)
    True
    >>> issuer.record(ticket, Ack(), now=1.1) == Run(ticket=ticket)
    True
    >>> message = issuer.end(ticket, Answered(body=b"booked"), now=1.2)
    >>> issuer.begin(ticket, body=b"{}", now=2.0)
    Known(outcome=Answered(body=b'booked'))
    """

    def __init__(
        self, *, peer: Peer, secret: bytes, max_tickets: int, ticket_lifetime_ms: int
    ) -> None:
        self.peer = peer
        self.max_tickets = max_tickets
        self.ticket_lifetime_ms = ticket_lifetime_ms
        self._secret = secret
        self._last_serial = 0
        # In the order of `since`, so that what has expired stands in front.
        self._records: dict[int, _Record] = {}
        self._unconfirmed: dict[int, None] = {}
        self._witnesses: dict[Peer, None] = {}
        self._closed = False

    def __len__(self) -> int:
        """Return the number of tickets held."""
        return len(self._records)

    def open(self, witness: Peer) -> OpenIssuer:
        """Return what makes this issuer known to a witness.

        Send it, and wait for `Kept`, before the first ticket that names this
        witness. Until then the witness would refuse to record a start, and the
        request would be "not run".
        """
        self._witnesses[witness] = None
        return OpenIssuer(
            issuer=self.peer,
            witness=witness,
            secret=self._secret,
        )

    def issue(
        self, *, service: str, witness: Peer | None, now: float
    ) -> Ticket | NotRun:
        """Return a new ticket, or why there is none at present.

        Raises ValueError if a name cannot stand in a ticket.
        """
        self._drop_expired(now)
        if self._closed:
            return self._decline(Reason.STOPPING)
        if len(self._records) >= self.max_tickets:
            return self._decline(Reason.OVERLOADED, self._compute_wait_ms(now))
        ticket = self._make_ticket(service, witness)
        self._records[ticket.serial] = _Unused(ticket=ticket, since=now)
        return ticket

    def begin(
        self, ticket: Ticket, *, body: bytes, now: float
    ) -> RecordStarted | Run | AlreadyRunning | Known | Refused:
        """Take a request with its ticket, the first time or again.

        After `RecordStarted`, give what the witness answered to `record`. A
        repeat never runs; it shares the outcome of the first.
        """
        problem = self._find_problem(ticket)
        if problem is not None:
            return Refused(reason=problem)
        digest = blake2b(body, digest_size=DIGEST_BYTES).digest()
        match self._records.get(ticket.serial):
            case None:
                return Known(outcome=self._compute_expired())
            case _Unused():
                return self._begin_first(ticket, digest, now)
            case _Ended(digest=None) as record:
                return Known(outcome=record.outcome)
            case record if record.digest != digest:
                return Refused(reason=TicketProblem.OTHER_BODY)
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _:
                return AlreadyRunning()

    def ask(
        self, ticket: Ticket, *, now: float
    ) -> NotBegun | AlreadyRunning | Known | Refused:
        """Tell what has become of a ticket so far; changes nothing."""
        problem = self._find_problem(ticket)
        if problem is not None:
            return Refused(reason=problem)
        match self._records.get(ticket.serial):
            case None:
                return Known(outcome=self._compute_expired())
            case _Unused():
                return NotBegun()
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _:
                return AlreadyRunning()

    def record(
        self, ticket: Ticket, reply: StartedReply, *, now: float
    ) -> Run | AlreadyRunning | Known:
        """Take the witness's answer: `Run` upon the first `Ack`, else not run.

        Without an `Ack` the witness may void the ticket and a caller be told "not
        run" by any host. So the request must not run, now or ever: "not run" is
        recorded here first, and an `Ack` that comes late finds it.
        """
        record = self._records.get(ticket.serial)
        match record:
            case None:
                return Known(outcome=self._compute_expired())
            case _Recording():
                return self._settle_recording(record, reply)
            case _Ended(outcome=outcome):
                return Known(outcome=outcome)
            case _Running():
                return AlreadyRunning()
            case _Unused():
                raise ValueError(f"ticket {ticket.serial}: no request has begun")

    def end(self, ticket: Ticket, outcome: Outcome, *, now: float) -> RecordEnded:
        """Keep the outcome of a run for repeats; return what to tell the witness.

        A later outcome replaces an unknown one and no other. Raises ValueError for
        a ticket that is not running.
        """
        record = self._records.get(ticket.serial)
        match record:
            case _Running() | _Ended(outcome=Unknown()):
                self._keep(record, outcome)
            case _Ended():
                pass
            case _:
                raise ValueError(f"ticket {ticket.serial} is not running")
        return RecordEnded(ticket=ticket, outcome=outcome)

    def confirm(self, ticket: Ticket) -> None:
        """Note that the witness has the outcome (or has forgotten the ticket)."""
        self._unconfirmed.pop(ticket.serial, None)

    def get_unconfirmed(self, *, limit: int) -> tuple[RecordEnded, ...]:
        """Return up to `limit` outcomes that the witness has not confirmed.

        Send them from time to time: a request that is given up because its witness
        did not answer comes to the witness's record this way too.
        """
        messages: list[RecordEnded] = []
        for serial in self._unconfirmed:
            if len(messages) == limit:
                break
            record = self._records[serial]
            if isinstance(record, _Ended):
                messages.append(
                    RecordEnded(ticket=record.ticket, outcome=record.outcome)
                )
        return tuple(messages)

    def hand_over(self, *, now: float) -> tuple[RecordEnded | CloseIssuer, ...]:
        """Close for a planned stop; return what the witnesses must be told.

        Call it when all that ran has ended. From then on nothing starts: unused
        tickets and those still being recorded are "not run", here and, through
        `CloseIssuer`, at each witness.
        """
        self._closed = True
        for record in list(self._records.values()):
            match record:
                case _Recording():
                    self._keep(record, self._decline(Reason.STOPPING))
                case _:
                    pass
        closings = tuple(
            CloseIssuer(issuer=self.peer, witness=witness)
            for witness in self._witnesses
        )
        return self.get_unconfirmed(limit=len(self._unconfirmed)) + closings

    def _begin_first(
        self, ticket: Ticket, digest: bytes, now: float
    ) -> RecordStarted | Run | Known:
        # Set anew, not in place: the record moves behind all older ones.
        del self._records[ticket.serial]
        if self._closed:
            outcome = self._decline(Reason.STOPPING)
            self._records[ticket.serial] = _Ended(
                ticket=ticket, since=now, digest=digest, outcome=outcome, confirmed=True
            )
            return Known(outcome=outcome)
        if ticket.witness is None:
            self._records[ticket.serial] = _Running(
                ticket=ticket, since=now, digest=digest
            )
            return Run(ticket=ticket)
        self._records[ticket.serial] = _Recording(
            ticket=ticket, since=now, digest=digest
        )
        return RecordStarted(ticket=ticket)

    def _settle_recording(self, record: _Recording, reply: StartedReply) -> Run | Known:
        match reply:
            case Ack():
                self._records[record.ticket.serial] = _Running(
                    ticket=record.ticket, since=record.since, digest=record.digest
                )
                return Run(ticket=record.ticket)
            case Void():
                reason = Reason.VOID
            case Forgotten() | Refused():
                reason = Reason.EXPIRED
            case WitnessLost():
                reason = Reason.WITNESS_LOST
        witness = record.ticket.witness
        peer = self.peer.host if witness is None else witness.host
        outcome = NotRun(step=Step.RECORD, peer=peer, reason=reason)
        self._keep(record, outcome)
        return Known(outcome=outcome)

    def _keep(self, record: _Recording | _Running | _Ended, outcome: Outcome) -> None:
        serial = record.ticket.serial
        self._records[serial] = _Ended(
            ticket=record.ticket,
            since=record.since,
            digest=record.digest,
            outcome=outcome,
            confirmed=False,
        )
        if record.ticket.witness is not None:
            self._unconfirmed[serial] = None

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
                raise ValueError(f"name {name!r} cannot stand in a ticket")
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
                    # What may still run keeps its record, however old it is.
                    self._records[serial] = replace(record, since=now)
                case _:
                    self._unconfirmed.pop(serial, None)

    def _compute_wait_ms(self, now: float) -> int:
        oldest = next(iter(self._records.values()), None)
        if oldest is None:
            return 0
        return max(0, self.ticket_lifetime_ms - int((now - oldest.since) * 1000))

    def _compute_expired(self) -> Unknown:
        """A genuine ticket without a record: it may have run before it was dropped."""
        return Unknown(step=Step.RECORD, peer=self.peer.host, reason=Reason.EXPIRED)

    def _decline(self, reason: Reason, retry_after_ms: int = 0) -> NotRun:
        return NotRun(
            step=Step.RECORD,
            peer=self.peer.host,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
