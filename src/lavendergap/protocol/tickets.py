"""Orders and questions about tickets, as messages on the channel between hosts.

`TicketAsk.verb` and `TicketReply.verdict` name the data class; what it holds goes
into the message's other fields.
"""

import re

from ..state.outcome import Outcome
from ..state.ticket import (
    Ack,
    AlreadyRunning,
    BadTicket,
    CloseIssuer,
    Forgotten,
    IssuerReply,
    Kept,
    KeptReply,
    Known,
    NotBegun,
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
    is_ticket_name,
    parse_ticket,
)
from .messages import BadFrameError, TicketAsk, TicketReply

RUN = "run"
ASK = "ask"
# Asks for any reply: it proves that the channel still carries bytes both ways.
PING = "ping"
OPEN = "open issuer"
STARTED = "record started"
ENDED = "record ended"
CLOSE = "close issuer"
VOID = "void"
WITNESS_VERBS = frozenset({OPEN, STARTED, ENDED, CLOSE, VOID})
PEER_SEPARATOR = "~"
MAX_SECRET_BYTES = 64
MIN_SECRET_BYTES = 16
_INCARNATION = re.compile(r"0|[1-9][0-9]{0,19}")

Reply = StartedReply | VoidReply | KeptReply | IssuerReply


def encode_request(request: WitnessRequest) -> TicketAsk:
    """Return the message for a request to a witness."""
    match request:
        case OpenIssuer(issuer=issuer, witness=witness, secret=secret):
            return TicketAsk(verb=OPEN, ticket=_join(issuer, witness), body=secret)
        case CloseIssuer(issuer=issuer, witness=witness):
            return TicketAsk(verb=CLOSE, ticket=_join(issuer, witness))
        case RecordStarted(ticket=ticket):
            return TicketAsk(verb=STARTED, ticket=str(ticket))
        case RecordEnded(ticket=ticket, outcome=outcome):
            return TicketAsk(verb=ENDED, ticket=str(ticket), outcome=outcome)
        case VoidTicket(ticket=ticket):
            return TicketAsk(verb=VOID, ticket=str(ticket))


def decode_request(ask: TicketAsk) -> WitnessRequest:
    """Return the request to a witness in `ask`, or raise `BadFrameError`."""
    match ask:
        case TicketAsk(verb="open issuer"):
            issuer, witness = _split(ask.ticket)
            return OpenIssuer(
                issuer=issuer, witness=witness, secret=_read_secret(ask.body)
            )
        case TicketAsk(verb="close issuer"):
            issuer, witness = _split(ask.ticket)
            return CloseIssuer(issuer=issuer, witness=witness)
        case TicketAsk(verb="record started"):
            return RecordStarted(ticket=read_ticket(ask))
        case TicketAsk(verb="record ended", outcome=outcome) if outcome is not None:
            return RecordEnded(ticket=read_ticket(ask), outcome=outcome)
        case TicketAsk(verb="void"):
            return VoidTicket(ticket=read_ticket(ask))
        case _:
            raise BadFrameError(problem=f"verb {ask.verb!r}")


def read_ticket(ask: TicketAsk) -> Ticket:
    """Return the ticket that `ask` is about, or raise `BadFrameError`."""
    ticket = parse_ticket(ask.ticket)
    if isinstance(ticket, BadTicket):
        raise BadFrameError(problem=ticket.reason.value)
    return ticket


def _join(issuer: Peer, witness: Peer) -> str:
    fields = (issuer.host, issuer.incarnation, witness.host, witness.incarnation)
    return PEER_SEPARATOR.join(str(field) for field in fields)


def _split(text: str) -> tuple[Peer, Peer]:
    match text.split(PEER_SEPARATOR):
        case [issuer, at, witness, witness_at]:
            return _read_peer(issuer, at), _read_peer(witness, witness_at)
        case _:
            raise BadFrameError(problem="malformed issuer or witness")


def _read_peer(host: str, incarnation: str) -> Peer:
    if not is_ticket_name(host) or not _INCARNATION.fullmatch(incarnation):
        raise BadFrameError(problem="malformed issuer or witness")
    return Peer(host=host, incarnation=int(incarnation))


def _read_secret(secret: bytes) -> bytes:
    # A key that the hash refuses would raise at the issuer's first ticket, in the
    # middle of the witness, and end its process with the records of all others.
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise BadFrameError(problem=f"a secret of {len(secret)} bytes")
    return secret


_PLAIN: dict[str, Reply] = {
    "ack": Ack(),
    "void": Void(),
    "voided": Voided(),
    "forgotten": Forgotten(),
    "kept": Kept(),
    "running": AlreadyRunning(),
    "not begun": NotBegun(),
}
_VERDICTS = {type(reply): verdict for verdict, reply in _PLAIN.items()}
_STARTED = "started"
_KNOWN = "known"
_REFUSED = "refused: "


def encode_reply(reply: Reply) -> TicketReply:
    """Return the message for a reply of an issuer or a witness."""
    match reply:
        case Started(outcome=outcome):
            return TicketReply(verdict=_STARTED, outcome=outcome)
        case Known(outcome=outcome):
            return TicketReply(verdict=_KNOWN, outcome=outcome)
        case Refused(reason=reason):
            return TicketReply(verdict=_REFUSED + reason.value)
        case _:
            return TicketReply(verdict=_VERDICTS[type(reply)])


def decode_reply(reply: TicketReply) -> Reply:
    """Return the reply of an issuer or a witness, or raise `BadFrameError`."""
    if reply.verdict == _STARTED:
        return Started(outcome=reply.outcome)
    if reply.verdict == _KNOWN:
        return Known(outcome=_need(reply.outcome))
    if reply.verdict.startswith(_REFUSED):
        try:
            problem = TicketProblem(reply.verdict.removeprefix(_REFUSED))
        except ValueError as error:
            raise BadFrameError(problem="unknown ticket problem") from error
        return Refused(reason=problem)
    plain = _PLAIN.get(reply.verdict)
    if plain is None:
        raise BadFrameError(problem=f"verdict {reply.verdict!r}")
    return plain


def _need(outcome: Outcome | None) -> Outcome:
    if outcome is None:
        raise BadFrameError(problem="an outcome is missing")
    return outcome
