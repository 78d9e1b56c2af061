from dataclasses import replace
from typing import Any

import pytest

from lavendergap.coordination import Issuer
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.ticket import (
    Ack,
    AlreadyRunning,
    CloseIssuer,
    Forgotten,
    Known,
    NotBegun,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Run,
    TicketProblem,
    Void,
    WitnessLost,
)

WITNESS = Peer(host="sea-a-1", incarnation=9)
BOOKED = Answered(body=b"booked")
LOST = Unknown(step=Step.RECEIVE, peer="ledger-a", reason=Reason.LOST_CONNECTION)


def make_issuer(**options):
    defaults: dict[str, Any] = {
        "peer": Peer(host="ptl-a-1", incarnation=7),
        "secret": b"k" * 32,
        "max_tickets": 3,
        "ticket_lifetime_ms": 10_000,
    }
    return Issuer(**(defaults | options))


def issue(issuer, now=0.0):
    return issuer.issue(service="ledger", witness=WITNESS, now=now)


def run(issuer, outcome=BOOKED, now=0.0):
    ticket = issue(issuer, now)
    issuer.begin(ticket, body=b"1", now=now)
    issuer.record(ticket, Ack())
    issuer.end(ticket, outcome)
    return ticket


class TestRunningOnce:
    def test_runs_on_the_first_ack_only(self):
        issuer = make_issuer()
        ticket = issue(issuer)
        assert issuer.ask(ticket, now=0.0) == NotBegun()
        asked = issuer.begin(ticket, body=b"1", now=0.0)
        assert asked == RecordStarted(ticket=ticket)
        assert issuer.begin(ticket, body=b"1", now=0.0) == AlreadyRunning()
        assert issuer.record(ticket, Ack()) == Run(ticket=ticket)
        assert issuer.record(ticket, Ack()) == AlreadyRunning()
        assert issuer.ask(ticket, now=0.0) == AlreadyRunning()
        assert issuer.end(ticket, BOOKED).outcome == BOOKED
        assert issuer.record(ticket, Ack()) == Known(outcome=BOOKED)

    def test_repeat_shares_the_outcome(self):
        issuer = make_issuer()
        ticket = run(issuer)
        assert issuer.begin(ticket, body=b"1", now=1.0) == Known(outcome=BOOKED)
        assert issuer.ask(ticket, now=1.0) == Known(outcome=BOOKED)

    @pytest.mark.parametrize(
        ("reply", "reason"),
        [
            (Void(), Reason.VOID),
            (Forgotten(), Reason.EXPIRED),
            (Refused(reason=TicketProblem.FORGED), Reason.EXPIRED),
            (WitnessLost(), Reason.WITNESS_LOST),
        ],
    )
    def test_never_runs_once_given_up(self, reply, reason):
        """Guards against a run on a late ack after "not run" was returned."""
        issuer = make_issuer()
        ticket = issue(issuer)
        issuer.begin(ticket, body=b"1", now=0.0)
        given_up = NotRun(step=Step.RECORD, peer="sea-a-1", reason=reason)
        assert issuer.record(ticket, reply) == Known(outcome=given_up)
        assert issuer.record(ticket, Ack()) == Known(outcome=given_up)
        assert issuer.begin(ticket, body=b"1", now=1.0) == Known(outcome=given_up)
        assert issuer.get_unconfirmed(limit=9)[0].outcome == given_up

    def test_runs_at_once_without_a_witness(self):
        issuer = make_issuer()
        ticket = issuer.issue(service="ledger", witness=None, now=0.0)
        assert issuer.begin(ticket, body=b"1", now=0.0) == Run(ticket=ticket)
        assert issuer.begin(ticket, body=b"1", now=0.0) == AlreadyRunning()
        issuer.end(ticket, BOOKED)
        assert issuer.get_unconfirmed(limit=9) == ()

    def test_unknown_outcome_may_become_known_and_no_other_changes(self):
        issuer = make_issuer()
        ticket = run(issuer, LOST)
        assert issuer.end(ticket, BOOKED).outcome == BOOKED
        assert issuer.end(ticket, LOST).outcome == BOOKED
        assert issuer.ask(ticket, now=0.0) == Known(outcome=BOOKED)

    def test_end_needs_a_run(self):
        issuer = make_issuer()
        with pytest.raises(ValueError, match="has not run"):
            issuer.end(issue(issuer), BOOKED)
        with pytest.raises(ValueError, match="no request"):
            issuer.record(issue(issuer), Ack())


class TestBadTickets:
    """Each is refused and leaves the genuine ticket unused."""

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"mac": "0" * 16}, TicketProblem.FORGED),
            ({"serial": 2}, TicketProblem.FORGED),
            ({"service": "contracts"}, TicketProblem.FORGED),
            ({"witness": None}, TicketProblem.FORGED),
            (
                {"issuer": Peer(host="ptl-a-1", incarnation=6)},
                TicketProblem.OTHER_ISSUER,
            ),
        ],
    )
    def test_refuses_a_changed_ticket(self, change, reason):
        issuer = make_issuer()
        ticket = issue(issuer)
        forged = replace(ticket, **change)
        assert issuer.begin(forged, body=b"1", now=0.0) == Refused(reason=reason)
        assert issuer.ask(forged, now=0.0) == Refused(reason=reason)
        assert issuer.ask(ticket, now=0.0) == NotBegun()

    def test_refuses_another_body_for_a_used_ticket(self):
        issuer = make_issuer()
        ticket = run(issuer)
        refusal = Refused(reason=TicketProblem.OTHER_BODY)
        assert issuer.begin(ticket, body=b"2", now=0.0) == refusal

    def test_refuses_names_not_allowed_in_a_ticket(self):
        with pytest.raises(ValueError, match="a~b"):
            make_issuer().issue(service="a~b", witness=None, now=0.0)


class TestBounds:
    def test_issues_no_more_than_max_tickets(self):
        issuer = make_issuer()
        tickets = [issue(issuer, now) for now in (0.0, 1.0, 2.0)]
        refusal = issue(issuer, 4.0)
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_ms == 6_000
        assert len(issuer) == 3
        assert issue(issuer, 10.0).serial == tickets[-1].serial + 1

    def test_expired_ticket_never_runs(self):
        """The record of an expired ticket is dropped, so its outcome is unknown."""
        issuer = make_issuer()
        ticket = issue(issuer)
        reply = issuer.begin(ticket, body=b"1", now=10.0)
        assert reply.outcome.reason is Reason.EXPIRED
        assert isinstance(reply.outcome, Unknown)
        assert len(issuer) == 0

    def test_running_request_outlives_its_ticket(self):
        issuer = make_issuer()
        ticket = issue(issuer)
        issuer.begin(ticket, body=b"1", now=0.0)
        issuer.record(ticket, Ack())
        assert issuer.begin(ticket, body=b"1", now=60.0) == AlreadyRunning()

    def test_answers_beyond_max_body_bytes_become_unknown(self):
        issuer = make_issuer(max_body_bytes=10)
        first = run(issuer)
        second = run(issuer)
        assert isinstance(issuer.ask(first, now=0.0).outcome, Unknown)
        assert issuer.ask(second, now=0.0) == Known(outcome=BOOKED)


class TestHandingOver:
    """At a planned stop, unconfirmed outcomes are sent to the witnesses."""

    def test_sends_unconfirmed_outcomes_and_closes(self):
        issuer = make_issuer()
        issuer.confirm_open(WITNESS)
        issuer.confirm(run(issuer))
        ended = run(issuer)
        unused = issue(issuer)
        assert issuer.hand_over() == (
            RecordEnded(ticket=ended, outcome=BOOKED),
            CloseIssuer(issuer=issuer.peer, witness=WITNESS),
        )
        assert issue(issuer).reason is Reason.STOPPING
        reply = issuer.begin(unused, body=b"1", now=0.0)
        assert isinstance(reply.outcome, NotRun)

    def test_a_start_still_being_recorded_is_given_up(self):
        issuer = make_issuer()
        ticket = issue(issuer)
        issuer.begin(ticket, body=b"1", now=0.0)
        assert issuer.hand_over()[0].outcome.reason is Reason.STOPPING
        assert isinstance(issuer.record(ticket, Ack()), Known)

    def test_knows_which_witnesses_are_open(self):
        issuer = make_issuer()
        assert not issuer.is_open(WITNESS)
        issuer.confirm_open(WITNESS)
        assert issuer.is_open(WITNESS)
        assert not issuer.is_open(replace(WITNESS, incarnation=10))
        assert "kkk" not in repr(issuer.open(WITNESS))
