"""Sends a ticket's request to the owner of its group, which runs it at most once."""

import trio

from ..coordination.calls import Call, FinishCall
from ..protocol.messages import Run as RunMessage
from ..protocol.messages import RunOutcome
from ..state.customers import Precedence
from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Group, Service, Settings
from ..state.ticket import Ticket
from .batch import SubmittedCall
from .fleet import Fleet
from .owner import Owner
from .ticketclient import TicketClient

# Opening a channel to one owner may take this share of the time left to the deadline;
# the rest is for the run, or for the next owners.
CONNECT_SHARE = 0.25
CONNECT_LIMIT_S = 0.25
# The owner answers by the deadline; its reply may arrive this much later.
REPLY_GRACE_S = 0.25


class RunSender:
    """Sends requests that must run at most once; `send` is called once per ticket."""

    def __init__(
        self,
        *,
        own_host: str,
        settings: Settings,
        fleet: Fleet,
        owner: Owner,
        client: TicketClient,
    ) -> None:
        self._own_host = own_host
        self._settings = settings
        self._fleet = fleet
        self._owner = owner
        self._client = client

    def replace(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    async def send(
        self, ticket: Ticket, body: bytes, deadline: float, precedence: Precedence
    ) -> Outcome:
        """Send the request to an owner of its group; `deadline` is in seconds.

        It goes to the next owner only if the one before it provably did nothing: no
        byte of the request was sent, or the owner replied that it is stopping. After
        any other failure the request may have run.
        """
        service = self._settings.get_service(ticket.service)
        if service is None:
            return NotRun(
                step=Step.ROUTE, peer=ticket.service, reason=Reason.UNKNOWN_SERVICE
            )
        group = service.groups[ticket.serial % len(service.groups)]
        call = self._build_call(ticket, service, group, body, deadline, precedence)
        outcome: Outcome = NotRun(
            step=Step.ROUTE, peer=group.name, reason=Reason.NO_REPLICA
        )
        # If this host is not ranked, it is tried last: when no other host can be
        # reached, it may be this one that is partitioned.
        for host in dict.fromkeys((*self._fleet.rank(group.name), self._own_host)):
            if trio.current_time() >= deadline:
                # Checked before each send, as this process may have been paused.
                return NotRun(step=Step.ROUTE, peer=host, reason=Reason.DEADLINE)
            outcome = await self._send_to(host, call)
            if not _did_nothing(outcome):
                break
        return outcome

    def _build_call(
        self,
        ticket: Ticket,
        service: Service,
        group: Group,
        body: bytes,
        deadline: float,
        precedence: Precedence,
    ) -> Call:
        issuer = ticket.issuer
        return Call(
            call_id=self._owner.make_call_id(),
            request_id=f"{issuer.host}-{issuer.incarnation}-{ticket.serial}",
            service=service.name,
            group=group.name,
            shard="",
            version=0,
            deadline=deadline,
            body=body,
            idempotent=False,
            priority=precedence.priority,
            customer=precedence.customer,
            weight=precedence.weight,
        )

    async def _send_to(self, host: str, call: Call) -> Outcome:
        if host == self._own_host:
            return await self._submit(call)
        left = call.deadline - trio.current_time()
        limit = min(CONNECT_LIMIT_S, left * CONNECT_SHARE)
        channel = await self._client.open_verified(host, limit=limit)
        if channel is None:
            self._fleet.avoid(host, now=trio.current_time())
            return NotRun(step=Step.ROUTE, peer=host, reason=Reason.REFUSED_CONNECTION)
        left = call.deadline - trio.current_time()
        if left <= 0:
            return NotRun(step=Step.ROUTE, peer=host, reason=Reason.DEADLINE)
        message = RunMessage(
            request_id=call.request_id,
            service=call.service,
            group=call.group,
            left_ms=int(left * 1_000),
            body=call.body,
            precedence=Precedence(
                customer=call.customer, weight=call.weight, priority=call.priority
            ),
        )
        reply = await channel.ask(message, limit=left + REPLY_GRACE_S)
        if isinstance(reply, RunOutcome):
            return reply.outcome
        return Unknown(step=Step.RECEIVE, peer=host, reason=Reason.LOST_CONNECTION)

    async def _submit(self, call: Call) -> Outcome:
        ended: list[FinishCall] = []
        done = trio.Event()

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            ended.append(end)
            done.set()

        self._owner.submit([SubmittedCall(call=call, finish=finish)])
        await done.wait()
        return ended[0].outcome


def _did_nothing(outcome: Outcome) -> bool:
    """Return whether an owner did nothing, so that another may run the request."""
    match outcome:
        case NotRun(step=Step.ROUTE) | NotRun(reason=Reason.STOPPING):
            return True
        case _:
            return False
