"""Tickets for requests that must run at most once, and the messages about them.

A ticket names the one process that may run the request (its issuer, by host and
incarnation) and the process that keeps a second record of it (its witness). An
incarnation is a number that a process takes when it starts: each process of a host
has a different one, and a later process a greater one.
"""

import hmac
import re
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b

from .outcome import Outcome

FORMAT = "1"
MAX_TICKET_CHARS = 512
MAC_BYTES = 8
# The separator is not allowed in names and is safe in a URL path.
SEPARATOR = "~"
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_NUMBER = re.compile(r"0|[1-9][0-9]{0,19}")
_MAC = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """One process of a host: the host's name and the incarnation."""

    host: str
    incarnation: int


_NO_WITNESS = Peer(host="", incarnation=0)


class TicketProblem(StrEnum):
    """Why a ticket is refused. No request runs and no state changes."""

    TOO_LONG = "ticket too long"
    MALFORMED = "malformed ticket"
    OTHER_FORMAT = "ticket of another format version"
    OTHER_SERVICE = "ticket for another service"
    OTHER_ISSUER = "ticket of another issuer"
    FORGED = "ticket not issued here"
    OTHER_BODY = "ticket already used for another body"


@dataclass(frozen=True, kw_only=True, slots=True)
class BadTicket:
    """A text that is not a valid ticket for the requested service."""

    reason: TicketProblem


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The permission to run one request at most once, on its issuer only.

    `witness` is None if no other host was live at issue time. `mac` is 16 hexadecimal
    digits that only holders of the issuer's secret can compute or check. Callers get
    the text form:

    >>> ticket = Ticket(
    ...     service="sponsor-ledger", issuer=Peer(host="ptl-a-1", incarnation=7),
    ...     serial=1, witness=Peer(host="sea-a-1", incarnation=9),
    ...     mac="0123456789abcdef")
    >>> str(ticket)
    '1~sponsor-ledger~ptl-a-1~7~1~sea-a-1~9~0123456789abcdef'
    >>> parse_ticket(str(ticket)) == ticket
    True
    """

    service: str
    issuer: Peer
    serial: int
    witness: Peer | None
    mac: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.signed_text, self.mac))

    @property
    def signed_text(self) -> str:
        """The part of the text that the MAC covers."""
        witness = self.witness or _NO_WITNESS
        fields = (
            FORMAT,
            self.service,
            self.issuer.host,
            str(self.issuer.incarnation),
            str(self.serial),
            witness.host,
            str(witness.incarnation),
        )
        return SEPARATOR.join(fields)


def is_ticket_name(name: str) -> bool:
    """Return whether `name` is valid as a service or host in a ticket."""
    return _NAME.fullmatch(name) is not None


def compute_mac(ticket: Ticket, secret: bytes) -> str:
    """Return the MAC of a ticket for a secret of 16 to 64 bytes."""
    text = ticket.signed_text.encode("ascii")
    return blake2b(text, key=secret, digest_size=MAC_BYTES).hexdigest()


def verify_mac(ticket: Ticket, secret: bytes) -> bool:
    """Return whether the MAC matches `secret`, compared in constant time."""
    return hmac.compare_digest(compute_mac(ticket, secret), ticket.mac)


def parse_ticket(text: str, *, service: str | None = None) -> Ticket | BadTicket:
    """Parse a ticket's text and check its syntax and, if given, its service.

    The MAC is not verified; that takes the issuer's secret.

    >>> parse_ticket("1~sponsor-ledger~ptl-a-1~7")
    BadTicket(reason=<TicketProblem.MALFORMED: 'malformed ticket'>)
    """
    if len(text) > MAX_TICKET_CHARS:
        return BadTicket(reason=TicketProblem.TOO_LONG)
    fields = text.split(SEPARATOR)
    if not _NUMBER.fullmatch(fields[0]):
        return BadTicket(reason=TicketProblem.MALFORMED)
    if fields[0] != FORMAT:
        return BadTicket(reason=TicketProblem.OTHER_FORMAT)
    if not _are_well_formed(fields):
        return BadTicket(reason=TicketProblem.MALFORMED)
    witness = Peer(host=fields[5], incarnation=int(fields[6]))
    ticket = Ticket(
        service=fields[1],
        issuer=Peer(host=fields[2], incarnation=int(fields[3])),
        serial=int(fields[4]),
        witness=None if witness == _NO_WITNESS else witness,
        mac=fields[7],
    )
    if service is not None and ticket.service != service:
        return BadTicket(reason=TicketProblem.OTHER_SERVICE)
    return ticket


def _are_well_formed(fields: list[str]) -> bool:
    """Check all fields but the first. Each ticket has exactly one valid text."""
    match fields:
        case [_, service, issuer, issuer_inc, serial, witness, witness_inc, mac]:
            names = [service, issuer]
            if (witness, witness_inc) != ("", "0"):
                names.append(witness)
            numbers = (issuer_inc, serial, witness_inc)
            return (
                all(is_ticket_name(name) for name in names)
                and all(_NUMBER.fullmatch(number) for number in numbers)
                and _MAC.fullmatch(mac) is not None
            )
        case _:
            return False


# Requests to a witness.


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenIssuer:
    """Register an issuer with a witness, once, before its tickets name the witness.

    The secret lets the witness refuse forged tickets. A witness answers `Forgotten`
    to all requests about an unregistered issuer, so it need not remember the issuers
    that it dropped. Answered by `Kept` or `Forgotten`.
    """

    issuer: Peer
    witness: Peer
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordStarted:
    """Ask the witness to record the ticket as started, before the request runs.

    Answered by `Ack`, `Void`, `Forgotten` or, for a forged ticket, `Refused`.
    """

    ticket: Ticket


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordEnded:
    """Send the witness the outcome, so that it survives the issuer.

    Answered by `Kept`, `Forgotten` or, for a forged ticket, `Refused`; may be repeated
    until answered.
    """

    ticket: Ticket
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseIssuer:
    """Report to the witness that a stopping issuer starts no more requests.

    Tickets of the issuer that are not recorded as started are void from then on.
    Answered by `Kept` or `Forgotten`.
    """

    issuer: Peer
    witness: Peer


@dataclass(frozen=True, kw_only=True, slots=True)
class VoidTicket:
    """Ask the witness to void a ticket unless it has been started.

    Sent by any host if the issuer does not answer. Answered by `Voided`, `Started`,
    `Forgotten` or, for a forged ticket, `Refused`.
    """

    ticket: Ticket


WitnessRequest = OpenIssuer | RecordStarted | RecordEnded | CloseIssuer | VoidTicket


# Answers of a witness.


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The issuer or witness refused the ticket; no request ran, no state changed."""

    reason: TicketProblem


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """The ticket is recorded as started and will never be voided."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Void:
    """The ticket had been voided already: its request must never run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Voided:
    """The ticket is void: its request never started and never will."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The ticket was started; `outcome` is None if the witness has none yet."""

    outcome: Outcome | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Forgotten:
    """The witness has no record: it dropped the record, or it was restarted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Kept:
    """The witness has recorded the message."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WitnessLost:
    """The witness did not answer within the timeout."""


StartedReply = Ack | Void | Forgotten | Refused | WitnessLost
VoidReply = Voided | Started | Forgotten | Refused | WitnessLost
KeptReply = Kept | Forgotten | Refused


# Answers of an issuer to hosts that forward requests and queries for outcomes.


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Run the request now. Returned at most once for each ticket."""

    ticket: Ticket


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyRunning:
    """The request is being recorded or run; all who wait get the same outcome."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NotBegun:
    """The ticket is valid and no request has been received with it yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """The outcome, which is the same for each repeat of the request."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class IssuerLost:
    """The issuer's process is gone or did not answer within the timeout."""


IssuerReply = Known | AlreadyRunning | NotBegun | Refused | IssuerLost
