"""The messages about tickets between hosts: round trips and rejected input."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendergap.coordination.issuer import Issuer
from lavendergap.coordination.witness import Witness
from lavendergap.protocol.messages import (
    BadFrameError,
    Frame,
    TicketReply,
    TicketRequest,
)
from lavendergap.protocol.peer import decode_frame, encode_frame
from lavendergap.protocol.tickets import (
    ASK,
    CLOSE,
    ENDED,
    OPEN,
    PING,
    RUN,
    STARTED,
    VOID,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
    read_ticket,
)
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.ticket import (
    Ack,
    AlreadyRunning,
    BadTicket,
    CloseIssuer,
    Forgotten,
    Kept,
    Known,
    NotBegun,
    OpenIssuer,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Started,
    Ticket,
    TicketProblem,
    Void,
    Voided,
    VoidTicket,
    parse_ticket,
)

NAMES = st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True)
NUMBERS = st.integers(0, 2**63)
PEERS = st.builds(Peer, host=NAMES, incarnation=NUMBERS)
TICKETS = st.builds(
    Ticket,
    service=NAMES,
    issuer=PEERS,
    serial=NUMBERS,
    witness=st.none() | PEERS,
    mac=st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
)
STEP_AND_PEER = {"step": st.sampled_from(Step), "peer": NAMES}
REASONS = st.sampled_from(Reason)
OUTCOMES = st.one_of(
    st.builds(Answered, body=st.binary(max_size=99)),
    st.builds(
        NotRun,
        **STEP_AND_PEER,
        reason=REASONS,
        retry_after_ms=st.integers(0, 2**32 - 1),
    ),
    st.builds(Unknown, **STEP_AND_PEER, reason=REASONS),
)
REQUESTS = st.one_of(
    st.builds(
        OpenIssuer,
        issuer=PEERS,
        witness=PEERS,
        secret=st.binary(min_size=16, max_size=64),
    ),
    st.builds(CloseIssuer, issuer=PEERS, witness=PEERS),
    st.builds(RecordStarted, ticket=TICKETS),
    st.builds(RecordEnded, ticket=TICKETS, outcome=OUTCOMES),
    st.builds(VoidTicket, ticket=TICKETS),
)
REPLIES = st.one_of(
    st.sampled_from(
        [Ack(), Void(), Voided(), Forgotten(), Kept(), AlreadyRunning(), NotBegun()]
    ),
    st.builds(Started, outcome=st.none() | OUTCOMES),
    st.builds(Known, outcome=OUTCOMES),
    st.builds(Refused, reason=st.sampled_from(TicketProblem)),
)
TICKET = "1~ledger~a-1~7~1~b-1~9~0123456789abcdef"
WITNESS = Peer(host="b-1", incarnation=9)
derandomized = settings(derandomize=True, deadline=None)


def send(message):
    """Return the message as another host decodes it."""
    return decode_frame(encode_frame(Frame(id=1, message=message))[4:]).message


class TestRoundTrips:
    @derandomized
    @given(request=REQUESTS)
    def test_requests(self, request):
        assert decode_request(send(encode_request(request))) == request

    @derandomized
    @given(reply=REPLIES)
    def test_replies(self, reply):
        assert decode_reply(send(encode_reply(reply))) == reply

    @derandomized
    @given(ticket=TICKETS)
    def test_tickets(self, ticket):
        assert parse_ticket(str(ticket)) == ticket


class TestBadInput:
    @derandomized
    @given(
        verb=st.sampled_from([OPEN, CLOSE, STARTED, ENDED, VOID]) | st.text(),
        ticket=st.text(max_size=99) | st.sampled_from([TICKET, "a-1~7~b-1~9"]),
        body=st.binary(max_size=99),
        outcome=st.none() | OUTCOMES,
    )
    def test_any_request_is_read_or_refused(self, verb, ticket, body, outcome):
        ask = TicketRequest(verb=verb, ticket=ticket, body=body, outcome=outcome)
        try:
            request = decode_request(ask)
        except BadFrameError:
            return
        witness = Witness(peer=WITNESS, max_tickets=9, ticket_lifetime_ms=9)
        witness.answer(request, now=0.0)
        assert encode_request(request).ticket == ticket

    @derandomized
    @given(verdict=st.text(), outcome=st.none() | OUTCOMES)
    def test_any_reply_is_read_or_refused(self, verdict, outcome):
        with suppress(BadFrameError):
            decode_reply(TicketReply(verdict=verdict, outcome=outcome))

    @pytest.mark.parametrize("length", range(len(TICKET)))
    def test_a_truncated_ticket_is_refused(self, length):
        with pytest.raises(BadFrameError):
            read_ticket(TicketRequest(verb=VOID, ticket=TICKET[:length]))
        assert isinstance(parse_ticket(TICKET[:length]), BadTicket)

    @pytest.mark.parametrize("verb", [RUN, ASK, PING, "", "Void", "refused: "])
    def test_an_unknown_witness_verb_is_refused(self, verb):
        with pytest.raises(BadFrameError):
            decode_request(TicketRequest(verb=verb, ticket=TICKET))

    @pytest.mark.parametrize("verdict", ["known", "ack ", "refused: ", "refused: it"])
    def test_an_unknown_verdict_is_refused(self, verdict):
        with pytest.raises(BadFrameError):
            decode_reply(TicketReply(verdict=verdict))

    @pytest.mark.parametrize(
        "text",
        ["", "a-1~7~b-1", "a-1~7~b-1~9~", "~7~b-1~9", "a-1~-7~b-1~9", "a-1~07~b-1~9"]
        + ["a-1~7~b-1~1_0", "a-1~٧~b-1~9", "a-1~7~b 1~9", "a-1~ 7~b-1~9"],
    )
    def test_a_malformed_issuer_or_witness_is_refused(self, text):
        for ask in (
            TicketRequest(verb=OPEN, ticket=text, body=b"k" * 32),
            TicketRequest(verb=CLOSE, ticket=text),
        ):
            with pytest.raises(BadFrameError):
                decode_request(ask)

    @pytest.mark.parametrize("n_bytes", [0, 15, 65, 4096])
    def test_a_secret_that_cannot_be_a_key_is_refused(self, n_bytes):
        """Guards against a secret that ends the witness's process at a later ticket."""
        ask = TicketRequest(verb=OPEN, ticket="a-1~7~b-1~9", body=b"k" * n_bytes)
        with pytest.raises(BadFrameError):
            decode_request(ask)


class TestForgery:
    @derandomized
    @given(place=st.integers(0, len(TICKET) + 20), digit=st.sampled_from("0123456789"))
    def test_a_changed_ticket_is_never_taken(self, place, digit):
        """Nobody runs, or learns the answer of, a request with a made-up ticket."""
        issuer = Issuer(
            peer=Peer(host="a-1", incarnation=7),
            secret=b"k" * 32,
            max_tickets=9,
            ticket_lifetime_ms=9_000,
        )
        witness = Witness(peer=WITNESS, max_tickets=9, ticket_lifetime_ms=9_000)
        witness.answer(issuer.open(WITNESS), now=0.0)
        genuine = issuer.issue(service="ledger", witness=WITNESS, now=0.0)
        text = str(genuine)
        place %= len(text)
        changed = text[:place] + digit + text[place + 1 :]
        forged = parse_ticket(changed)
        if changed == text or isinstance(forged, BadTicket):
            return
        assert isinstance(issuer.begin(forged, body=b"{}", now=1.0), Refused)
        reply = witness.answer(VoidTicket(ticket=forged), now=1.0)
        assert isinstance(reply, Refused | Forgotten)
