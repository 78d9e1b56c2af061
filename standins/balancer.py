"""The platform's balancer in front of entry hosts, inside the load tool."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import trio

from lavendergap.state.settings import Address

from .client import Answer, Client, LostConnectionError, connect

POLL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_IDLE = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPorts:
    """Where an entry host takes callers, and where it says that it is ready."""

    callers: Address
    admin: Address | None = None


class NoHostError(Exception):
    """No entry host took the connection: the balancer itself refuses."""


class _Backing:
    """An entry host as the balancer sees it, with its idle connections."""

    def __init__(self, *, ports: EntryPorts):
        self.ports = ports
        self.is_ready = ports.admin is None
        self._idle: deque[Client] = deque()

    async def open(self) -> Client:
        """Return an idle connection or a new one; raises OSError when refused."""
        while self._idle:
            client = self._idle.pop()
            if not client.has_input():
                return client
            await client.aclose()
        return await connect(self.ports.callers.ip, self.ports.callers.port)

    async def keep(self, client: Client) -> None:
        """Keep a connection for the next request, if it can carry one."""
        if client.is_reusable and self.is_ready and len(self._idle) < MAX_IDLE:
            self._idle.append(client)
        else:
            await client.aclose()

    async def close_idle(self) -> None:
        """Close the connections that carry no request."""
        while self._idle:
            await self._idle.pop().aclose()

    async def poll(self) -> None:
        """Ask the host whether it is ready, over a connection of its own."""
        admin = self.ports.admin
        if admin is None:
            return
        is_ready = False
        with trio.move_on_after(POLL_TIMEOUT_S):
            is_ready = await _ask_ready(admin)
        self.is_ready = is_ready
        if not is_ready:
            await self.close_idle()


async def _ask_ready(admin: Address) -> bool:
    try:
        client = await connect(admin.ip, admin.port)
    except OSError:
        return False
    try:
        return (await client.request("GET", "/ready")).status == 200
    except LostConnectionError:
        return False
    finally:
        await client.aclose()


class Balancer:
    """Sends requests to the ready entry hosts in turn, as the platform's does.

    A host whose admin port does not answer /ready with 200 gets no new requests.
    A refused connection is tried at the other hosts only for a request that may be
    repeated; no request is sent twice.
    """

    def __init__(self, *, entries: tuple[EntryPorts, ...], poll_s: float = POLL_S):
        self.n_retries = 0
        self._backings = [_Backing(ports=ports) for ports in entries]
        self._poll_s = poll_s
        self._turn = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the hosts until cancelled; started once each was asked."""
        try:
            await self._poll_all()
            task_status.started()
            while True:
                await trio.sleep(self._poll_s)
                await self._poll_all()
        finally:
            with trio.CancelScope(shield=True):
                for backing in self._backings:
                    await backing.close_idle()

    async def _poll_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for backing in self._backings:
                nursery.start_soon(backing.poll)

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes = b"",
        may_repeat: bool,
    ) -> Answer:
        """Send a request to the host whose turn it is and return its answer.

        Raises NoHostError when none took the connection and LostConnectionError
        when the connection ended before the whole answer.
        """
        for backing in self._list_turns():
            try:
                client = await backing.open()
            except OSError:
                if not may_repeat:
                    break
                self.n_retries += 1
                continue
            try:
                answer = await client.request(method, path, headers=headers, body=body)
            except BaseException:
                await client.aclose()
                raise
            await backing.keep(client)
            return answer
        raise NoHostError

    def _list_turns(self) -> list[_Backing]:
        ready = [backing for backing in self._backings if backing.is_ready]
        if not ready:
            return []
        self._turn = (self._turn + 1) % len(ready)
        return ready[self._turn :] + ready[: self._turn]
