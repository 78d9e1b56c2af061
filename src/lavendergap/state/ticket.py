"""Tickets for requests that must run at most once, and what is said about them.

A ticket names the one process that may run the request (its issuer, by host and
incarnation) and the process that keeps a second record of it (its witness). An
incarnation is a number that a process takes when it starts: no two lives of a host
share one, and a later life has a greater one.
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
# The separator is outside of the alphabet of names and safe in a URL's path.
SEPARATOR = "~"
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_NUMBER = re.compile(r"0|[1-9][0-9]{0,19}")
_MAC = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """One life of a host's process: the host's name and the incarnation."""

    host: str
    incarnation: int


_NO_WITNESS = Peer(host="", incarnation=0)


class TicketProblem(StrEnum):
    """Why a ticket is refused; no request runs and no state changes."""

    TOO_LONG = "ticket too long"
    MALFORMED = "malformed ticket"
    OTHER_FORMAT = "ticket of another format version"
    OTHER_SERVICE = "ticket for another service"
    OTHER_ISSUER = "ticket of another issuer"
    FORGED = "ticket not issued here"
    OTHER_BODY = "ticket already used for another body"


@dataclass(frozen=True, kw_only=True, slots=True)
class BadTicket:
    """A text that is no ticket, or not one for the service that was asked."""

    reason: TicketProblem


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The right to have one request run at most once, by its issuer alone.

    `witness` is None when no other host was live at issue time. `mac` is 16
    hexadecimal digits that only the issuer can compute or check. The text form is
    what callers hold:

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
    """Tell whether a service or host of this name can stand in a ticket."""
    return _NAME.fullmatch(name) is not None


def compute_mac(ticket: Ticket, secret: bytes) -> str:
    """Return the MAC of a ticket, under a secret of 16 to 64 bytes."""
    text = ticket.signed_text.encode("ascii")
    return blake2b(text, key=secret, digest_size=MAC_BYTES).hexdigest()


def verify_mac(ticket: Ticket, secret: bytes) -> bool:
    """Tell whether the holder of `secret` issued this ticket, in constant time."""
    return hmac.compare_digest(compute_mac(ticket, secret), ticket.mac)


def parse_ticket(text: str, *, service: str | None = None) -> Ticket | BadTicket:
    """Read a ticket's text; check its shape and, if given, its service.

    Only the issuer can tell whether a well-formed ticket is genuine.

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
    """Check all fields but the first; one ticket has exactly one text."""
    match fields:
        case [_, service, issuer, incarnation, serial, witness, at, mac]:
            names = [service, issuer]
            if (witness, at) != ("", "0"):
                names.append(witness)
            numbers = (incarnation, serial, at)
            return (
                all(is_ticket_name(name) for name in names)
                and all(_NUMBER.fullmatch(number) for number in numbers)
                and _MAC.fullmatch(mac) is not None
            )
        case _:
            return False


# What an issuer asks of a witness.


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenIssuer:
    """Make an issuer known to a witness, once, before its tickets name the witness.

    The secret lets the witness refuse forged tickets too. A witness answers
    `Forgotten` to all about an issuer that it does not know, so that it needs no
    memory of those that it dropped. Answered by `Kept` or `Forgotten`.
    """

    issuer: Peer
    witness: Peer
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordStarted:
    """Ask the witness to record the ticket as started, before the request runs.

    Answered by `Ack`, `Void` or `Forgotten`.
    """

    ticket: Ticket


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordEnded:
    """Give the witness the outcome, so that it survives the issuer.

    Answered by `Kept` or `Forgotten`; may be sent again until then.
    """

    ticket: Ticket
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseIssuer:
    """Tell the witness that a stopping issuer starts nothing any more.

    Each of its tickets that the witness has not seen started is void from now on.
    Answered by `Kept` or `Forgotten`.
    """

    issuer: Peer
    witness: Peer


@dataclass(frozen=True, kw_only=True, slots=True)
class VoidTicket:
    """Ask the witness to void a ticket unless it has been started.

    Any host asks this when the issuer cannot be asked. Answered by `Voided`,
    `Started`, `Forgotten` or, for a forged ticket, `Refused`.
    """

    ticket: Ticket


WitnessRequest = OpenIssuer | RecordStarted | RecordEnded | CloseIssuer | VoidTicket


# What a witness answers.


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The ticket is refused, by its issuer or witness; nothing ran or changed."""

    reason: TicketProblem


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """The ticket stands recorded as started; it will never be voided."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Void:
    """The ticket had been voided: it must never run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Voided:
    """The ticket is void: it never started and never will."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The ticket was started, with its outcome if the witness was told."""

    outcome: Outcome | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Forgotten:
    """The witness can say nothing: it dropped the record, or is a later process."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Kept:
    """The witness holds what it was told."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WitnessLost:
    """No answer from the witness within the time that it was given."""


StartedReply = Ack | Void | Forgotten | Refused | WitnessLost
VoidReply = Voided | Started | Forgotten | Refused | WitnessLost
KeptReply = Kept | Forgotten | Refused


# What an issuer answers to the hosts that pass requests and questions to it.


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Run the request now. Said once for each ticket, in all its issuer's life."""

    ticket: Ticket


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyRunning:
    """The request is being recorded or run; its outcome will answer all who ask."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NotBegun:
    """The ticket is good and no request has come with it yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """The outcome, the same for each repeat of the request."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class IssuerLost:
    """The issuer's process is gone, or gave no answer within its time."""


IssuerReply = Known | AlreadyRunning | NotBegun | Refused | IssuerLost
