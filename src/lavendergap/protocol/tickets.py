"""The codec of requests and replies about tickets, as messages between hosts.

`TicketRequest.verb` and `TicketReply.verdict` name the data class, whose contents are
in the other fields of the message.
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
from .messages import BadFrameError, TicketReply, TicketRequest

RUN = "run"
ASK = "ask"
# Requires any reply, to check that the channel works in both directions.
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


def encode_request(request: WitnessRequest) -> TicketRequest:
    """Return the message for a request to a witness."""
    match request:
        case OpenIssuer(issuer=issuer, witness=witness, secret=secret):
            return TicketRequest(
                verb=OPEN, ticket=_join_peers(issuer, witness), body=secret
            )
        case CloseIssuer(issuer=issuer, witness=witness):
            return TicketRequest(verb=CLOSE, ticket=_join_peers(issuer, witness))
        case RecordStarted(ticket=ticket):
            return TicketRequest(verb=STARTED, ticket=str(ticket))
        case RecordEnded(ticket=ticket, outcome=outcome):
            return TicketRequest(verb=ENDED, ticket=str(ticket), outcome=outcome)
        case VoidTicket(ticket=ticket):
            return TicketRequest(verb=VOID, ticket=str(ticket))


def decode_request(ask: TicketRequest) -> WitnessRequest:
    """Return the request to a witness in `ask`, or raise `BadFrameError`."""
    match ask:
        case TicketRequest(verb="open issuer"):
            issuer, witness = _split_peers(ask.ticket)
            return OpenIssuer(
                issuer=issuer, witness=witness, secret=_read_secret(ask.body)
            )
        case TicketRequest(verb="close issuer"):
            issuer, witness = _split_peers(ask.ticket)
            return CloseIssuer(issuer=issuer, witness=witness)
        case TicketRequest(verb="record started"):
            return RecordStarted(ticket=read_ticket(ask))
        case TicketRequest(verb="record ended", outcome=outcome) if outcome is not None:
            return RecordEnded(ticket=read_ticket(ask), outcome=outcome)
        case TicketRequest(verb="void"):
            return VoidTicket(ticket=read_ticket(ask))
        case _:
            raise BadFrameError(
                problem=f"unknown verb or missing outcome: {ask.verb!r}"
            )


def read_ticket(ask: TicketRequest) -> Ticket:
    """Return the ticket that `ask` is about, or raise `BadFrameError`."""
    ticket = parse_ticket(ask.ticket)
    if isinstance(ticket, BadTicket):
        raise BadFrameError(problem=ticket.reason.value)
    return ticket


def _join_peers(issuer: Peer, witness: Peer) -> str:
    fields = (issuer.host, issuer.incarnation, witness.host, witness.incarnation)
    return PEER_SEPARATOR.join(str(field) for field in fields)


def _split_peers(text: str) -> tuple[Peer, Peer]:
    match text.split(PEER_SEPARATOR):
        case [issuer, issuer_inc, witness, witness_inc]:
            return _read_peer(issuer, issuer_inc), _read_peer(witness, witness_inc)
        case _:
            raise BadFrameError(problem="malformed issuer or witness")


def _read_peer(host: str, incarnation: str) -> Peer:
    if not is_ticket_name(host) or not _INCARNATION.fullmatch(incarnation):
        raise BadFrameError(problem="malformed issuer or witness")
    return Peer(host=host, incarnation=int(incarnation))


def _read_secret(secret: bytes) -> bytes:
    # With a key of another length, the hash would raise at the issuer's first ticket
    # and end the witness's process, with the records of all other issuers.
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise BadFrameError(
            problem=f"the secret has {len(secret)} bytes; expected 16 to 64"
        )
    return secret


_REPLIES_BY_VERDICT: dict[str, Reply] = {
    "ack": Ack(),
    "void": Void(),
    "voided": Voided(),
    "forgotten": Forgotten(),
    "kept": Kept(),
    "running": AlreadyRunning(),
    "not begun": NotBegun(),
}
_VERDICTS_BY_TYPE = {
    type(reply): verdict for verdict, reply in _REPLIES_BY_VERDICT.items()
}
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
            return TicketReply(verdict=_VERDICTS_BY_TYPE[type(reply)])


def decode_reply(reply: TicketReply) -> Reply:
    """Return the reply of an issuer or a witness, or raise `BadFrameError`."""
    if reply.verdict == _STARTED:
        return Started(outcome=reply.outcome)
    if reply.verdict == _KNOWN:
        return Known(outcome=_require_outcome(reply.outcome))
    if reply.verdict.startswith(_REFUSED):
        try:
            problem = TicketProblem(reply.verdict.removeprefix(_REFUSED))
        except ValueError as error:
            raise BadFrameError(problem="unknown reason of a refused ticket") from error
        return Refused(reason=problem)
    known_reply = _REPLIES_BY_VERDICT.get(reply.verdict)
    if known_reply is None:
        raise BadFrameError(problem=f"unknown verdict: {reply.verdict!r}")
    return known_reply


def _require_outcome(outcome: Outcome | None) -> Outcome:
    if outcome is None:
        raise BadFrameError(problem="the message lacks its outcome")
    return outcome
