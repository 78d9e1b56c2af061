"""The text form of tickets: round trips, and the reasons for rejected texts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendergap.state.ticket import (
    MAX_TICKET_CHARS,
    BadTicket,
    Peer,
    Ticket,
    TicketProblem,
    is_ticket_name,
    parse_ticket,
)

TEXT = "1~ledger~ptl-a-1~7~1~sea-a-1~9~0123456789abcdef"

NAMES = st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True)
PEERS = st.builds(Peer, host=NAMES, incarnation=st.integers(0, 10**20 - 1))
TICKETS = st.builds(
    Ticket,
    service=NAMES,
    issuer=PEERS,
    serial=st.integers(0, 10**20 - 1),
    witness=PEERS | st.none(),
    mac=st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
)


class TestTicketText:
    @given(ticket=TICKETS)
    @settings(derandomize=True, deadline=None)
    def test_reads_what_it_writes(self, ticket):
        assert len(str(ticket)) <= MAX_TICKET_CHARS
        assert parse_ticket(str(ticket)) == ticket

    @given(text=st.text() | st.text(alphabet="~1a-", max_size=40))
    @settings(derandomize=True, deadline=None)
    def test_one_ticket_has_one_text(self, text):
        ticket = parse_ticket(text)
        assert isinstance(ticket, BadTicket) or str(ticket) == text

    @pytest.mark.parametrize("cut", range(len(TEXT)))
    def test_refuses_a_truncated_ticket(self, cut):
        assert isinstance(parse_ticket(TEXT[:cut]), BadTicket)

    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            ("", TicketProblem.MALFORMED),
            (TEXT + "~", TicketProblem.MALFORMED),
            (TEXT + "\n", TicketProblem.MALFORMED),
            (TEXT.replace("~7~", "~07~"), TicketProblem.MALFORMED),
            (TEXT.replace("~7~", "~\u0667~"), TicketProblem.MALFORMED),
            (TEXT.replace("~7~", "~-7~"), TicketProblem.MALFORMED),
            (TEXT.replace("ptl-a-1", ""), TicketProblem.MALFORMED),
            (TEXT.replace("sea-a-1", ""), TicketProblem.MALFORMED),
            (TEXT.replace("ptl-a-1", "ptl/a"), TicketProblem.MALFORMED),
            (TEXT.replace("abcdef", "ABCDEF"), TicketProblem.MALFORMED),
            ("2" + TEXT[1:], TicketProblem.OTHER_FORMAT),
            ("1" * 600, TicketProblem.TOO_LONG),
        ],
    )
    def test_refuses_with_the_reason(self, text, reason):
        assert parse_ticket(text) == BadTicket(reason=reason)

    def test_refuses_a_ticket_for_another_service(self):
        assert parse_ticket(TEXT, service="ledger") == parse_ticket(TEXT)
        refusal = BadTicket(reason=TicketProblem.OTHER_SERVICE)
        assert parse_ticket(TEXT, service="contracts") == refusal

    def test_names_are_limited(self):
        assert is_ticket_name("sponsor-ledger")
        assert not is_ticket_name("a~b")
        assert not is_ticket_name("")
        assert not is_ticket_name("a" * 65)
