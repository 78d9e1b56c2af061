"""What any host answers about a ticket, from its issuer's word or its witness's."""

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

# An issuer that was cut off or paused is asked again after this long.
ASK_AGAIN_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """What to tell the caller. An unknown outcome may become known later.

    `ask_again_ms` says after how long to ask again, and is 0 for a final outcome.
    """

    outcome: Outcome
    ask_again_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """The issuer lives and has no outcome yet."""

    begun: bool
    ask_again_ms: int = ASK_AGAIN_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The ticket is refused by its issuer or witness; nothing ran."""

    reason: TicketProblem


def resolve_by_issuer(
    ticket: Ticket, reply: IssuerReply
) -> Settled | Pending | Rejected | VoidTicket:
    """Return what the issuer's word settles, or the question for the witness.

    The witness is asked to void the ticket only when the issuer cannot speak: a
    later process on its host, or no answer.

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
                return settle(_doubt(ticket.issuer.host, Reason.ISSUER_LOST))
            return VoidTicket(ticket=ticket)
        case Refused(reason=reason):
            return Rejected(reason=reason)


def resolve_by_witness(ticket: Ticket, reply: VoidReply) -> Settled | Rejected:
    """Return what the witness's word settles.

    Only `Voided` proves that the request never runs. All else that has no outcome
    is unknown, and stays so until its issuer or witness can tell.
    """
    witness = "" if ticket.witness is None else ticket.witness.host
    match reply:
        case Voided():
            void = NotRun(
                step=Step.RECORD, peer=ticket.issuer.host, reason=Reason.ISSUER_LOST
            )
            return settle(void)
        case Started(outcome=outcome):
            lost = _doubt(ticket.issuer.host, Reason.ISSUER_LOST)
            return settle(lost if outcome is None else outcome)
        case Refused(reason=reason):
            return Rejected(reason=reason)
        case Forgotten():
            return settle(_doubt(witness, Reason.EXPIRED))
        case WitnessLost():
            return settle(_doubt(witness, Reason.WITNESS_LOST))


def settle(outcome: Outcome) -> Settled:
    """Return the outcome with the time after which asking again may help."""
    match outcome:
        case Unknown():
            return Settled(outcome=outcome, ask_again_ms=ASK_AGAIN_MS)
        case _:
            return Settled(outcome=outcome)


def _doubt(peer: str, reason: Reason) -> Unknown:
    return Unknown(step=Step.RECORD, peer=peer, reason=reason)
