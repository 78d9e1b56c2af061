"""The load tool's stand-in for the platform's load balancer before entry hosts."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import trio

from lavendergap.state.settings import Address

from .client import Answer, Client, LostConnectionError, connect

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_IDLE = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPorts:
    """An entry host's addresses for callers and for readiness checks.

    A host without `admin` is always considered ready.
    """

    callers: Address
    admin: Address | None = None


class NoHostError(Exception):
    """No entry host accepted the connection, so the balancer refuses the request."""


class _EntryHost:
    """An entry host with its readiness and its idle connections."""

    def __init__(self, *, ports: EntryPorts):
        self.ports = ports
        self.is_ready = ports.admin is None
        self._idle: deque[Client] = deque()

    async def acquire(self) -> Client:
        """Return an idle connection or a new one; raises OSError when refused."""
        while self._idle:
            client = self._idle.pop()
            if not client.has_input():
                return client
            await client.aclose()
        return await connect(self.ports.callers.ip, self.ports.callers.port)

    async def release(self, client: Client) -> None:
        """Keep a connection for the next request if it is reusable, or close it."""
        if client.is_reusable and self.is_ready and len(self._idle) < MAX_IDLE:
            self._idle.append(client)
        else:
            await client.aclose()

    async def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def poll(self) -> None:
        """Update the host's readiness over a new connection."""
        admin = self.ports.admin
        if admin is None:
            return
        is_ready = False
        with trio.move_on_after(POLL_TIMEOUT_S):
            is_ready = await _check_ready(admin)
        self.is_ready = is_ready
        if not is_ready:
            await self.close_idle()


async def _check_ready(admin: Address) -> bool:
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
    """Sends requests to the ready entry hosts round-robin, as the platform does.

    A host whose admin port does not answer /ready with 200 gets no new requests.
    After a refused connection, only a request that may be repeated is tried at the
    other hosts. No request is sent twice.
    """

    def __init__(
        self,
        *,
        entries: tuple[EntryPorts, ...],
        poll_interval_s: float = POLL_INTERVAL_S,
    ):
        self.n_retries = 0
        self._hosts = [_EntryHost(ports=ports) for ports in entries]
        self._poll_interval_s = poll_interval_s
        self._last_index = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the hosts until cancelled; started after the first poll of each."""
        try:
            await self._poll_all()
            task_status.started()
            while True:
                await trio.sleep(self._poll_interval_s)
                await self._poll_all()
        finally:
            with trio.CancelScope(shield=True):
                for host in self._hosts:
                    await host.close_idle()

    async def _poll_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for host in self._hosts:
                nursery.start_soon(host.poll)

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes = b"",
        may_repeat: bool,
    ) -> Answer:
        """Send a request to the next host and return its answer.

        Raises NoHostError if no host accepted the connection and LostConnectionError
        if the connection ended before the whole answer.
        """
        for host in self._list_candidates():
            try:
                client = await host.acquire()
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
            await host.release(client)
            return answer
        raise NoHostError

    def _list_candidates(self) -> list[_EntryHost]:
        ready = [host for host in self._hosts if host.is_ready]
        if not ready:
            return []
        self._last_index = (self._last_index + 1) % len(ready)
        return ready[self._last_index :] + ready[: self._last_index]
