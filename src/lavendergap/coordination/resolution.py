"""Answers about a ticket at any host, from the reply of its issuer or witness."""

from dataclasses import dataclass

from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.ticket import (
    AlreadyRunning,
    Forgotten,
    IssuerLost,
    IssuerReply,
    Known,
    NotBegun,
    Refused,
    Started,
    Ticket,
    TicketProblem,
    Voided,
    VoidReply,
    VoidTicket,
    WitnessLost,
)

# How long a caller should wait before it asks again for an outcome.
ASK_AGAIN_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """The outcome to return to the caller; an unknown one may become known later.

    `ask_again_ms` is the time after which to ask again, and 0 for a final outcome.
    """

    outcome: Outcome
    ask_again_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """The issuer is reachable and has no outcome yet."""

    begun: bool
    ask_again_ms: int = ASK_AGAIN_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The ticket was refused by its issuer or witness; nothing ran."""

    reason: TicketProblem


def resolve_by_issuer(
    ticket: Ticket, reply: IssuerReply
) -> Settled | Pending | Rejected | VoidTicket:
    """Return the result from the issuer's reply, or the message for the witness.

    The witness is asked to void the ticket only when the issuer cannot answer: its host
    runs a later process, or does not reply.

    >>> from lavendergap.state.ticket import parse_ticket
    >>> ticket = parse_ticket("1~ledger~ptl-a-1~7~1~sea-a-1~9~0123456789abcdef")
    >>> resolve_by_issuer(ticket, IssuerLost()) == VoidTicket(ticket=ticket)
    True
    >>> resolve_by_witness(ticket, Voided()).outcome.reason.value
    'issuer lost'
    """
    match reply:
        case Known(outcome=outcome):
            return settle(outcome)
        case AlreadyRunning():
            return Pending(begun=True)
        case NotBegun():
            return Pending(begun=False)
        case Refused(reason=TicketProblem.OTHER_ISSUER) | IssuerLost():
            if ticket.witness is None:
                return settle(_build_unknown(ticket.issuer.host, Reason.ISSUER_LOST))
            return VoidTicket(ticket=ticket)
        case Refused(reason=reason):
            return Rejected(reason=reason)


def resolve_by_witness(ticket: Ticket, reply: VoidReply) -> Settled | Rejected:
    """Return the result from the witness's reply.

    Only `Voided` proves that the request never runs. Any other reply without an outcome
    gives "unknown", until the issuer or witness reports an outcome.
    """
    witness = "" if ticket.witness is None else ticket.witness.host
    match reply:
        case Voided():
            void = NotRun(
                step=Step.RECORD, peer=ticket.issuer.host, reason=Reason.ISSUER_LOST
            )
            return settle(void)
        case Started(outcome=outcome):
            lost = _build_unknown(ticket.issuer.host, Reason.ISSUER_LOST)
            return settle(lost if outcome is None else outcome)
        case Refused(reason=reason):
            return Rejected(reason=reason)
        case Forgotten():
            return settle(_build_unknown(witness, Reason.EXPIRED))
        case WitnessLost():
            return settle(_build_unknown(witness, Reason.WITNESS_LOST))


def settle(outcome: Outcome) -> Settled:
    """Return the outcome with the time after which to ask again."""
    match outcome:
        case Unknown():
            return Settled(outcome=outcome, ask_again_ms=ASK_AGAIN_MS)
        case _:
            return Settled(outcome=outcome)


def _build_unknown(peer: str, reason: Reason) -> Unknown:
    return Unknown(step=Step.RECORD, peer=peer, reason=reason)
