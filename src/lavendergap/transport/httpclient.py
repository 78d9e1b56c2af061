"""An HTTP client for calls to one address, each with a timeout.

Used for calls to the platform and by the command line. Calls to backend servers manage
their own connections, in `transport.backend` and `transport.forward`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio

from ..logs import Category, get_logger
from ..state.outcome import Reason, Step
from ..state.settings import Address

logger = get_logger(Category.CONNECTIONS)

MAX_ANSWER_BYTES = 8_000_000
"""Lists of objects and answers to queries are longer than a single object."""

MAX_CHUNKS = 16_384
"""Each chunk costs processor time; a body of more than these is not a usual one."""

MAX_CONNECTIONS = 32
"""Each pending watch holds a connection."""

IDLE_LIMIT_S = 5.0
"""A connection idle for longer may be silent; opening another is cheap here."""

_STEPS = {
    "connection.connect_tcp.started": Step.CONNECT,
    "http11.send_request_headers.started": Step.SEND,
    "http11.receive_response_headers.started": Step.RECEIVE,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpReply:
    """A complete answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedCall:
    """A call without an answer: the step that failed and the reason.

    `sent` is whether a byte of the request may have been sent, so that the call may
    have taken effect or may still do so.
    """

    step: Step
    reason: Reason
    sent: bool


@dataclass(kw_only=True, slots=True)
class _Progress:
    """The step that a call has reached, according to httpcore's trace."""

    step: Step = Step.CONNECT

    async def trace(self, event: str, _info: Mapping[str, Any]) -> None:
        self.step = _STEPS.get(event, self.step)

    def fail(self, reason: Reason) -> FailedCall:
        return FailedCall(
            step=self.step, reason=reason, sent=self.step is not Step.CONNECT
        )


def _make_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_LIMIT_S
    )


@dataclass(kw_only=True, slots=True, eq=False)
class _Generation:
    """A connection pool and the number of calls in progress on it."""

    pool: httpcore.AsyncConnectionPool = field(default_factory=_make_pool)
    n_calls: int = 0


class HttpClient:
    """An HTTP client of one address that reuses connections.

    A reused connection may be silent while new ones work, and each call on it would
    time out. After a timeout or a lost connection, all later calls therefore use a
    new pool; calls in progress on the old one may still complete.
    """

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self._generation = _Generation()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._generation.pool.aclose()

    async def call(
        self,
        method: str,
        path: str,
        *,
        limit_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> HttpReply | FailedCall:
        """Make a call of up to `limit_s` seconds; return its answer of any status."""
        progress = _Progress()
        generation = self._generation
        generation.n_calls += 1
        try:
            with trio.fail_after(limit_s):
                return await self._send(
                    generation.pool, method, path, headers or {}, body, progress
                )
        except trio.TooSlowError:
            self._retire(generation)
            return progress.fail(Reason.SILENT_CONNECTION)
        except httpcore.ConnectError:
            return progress.fail(Reason.REFUSED_CONNECTION)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self._retire(generation)
            return progress.fail(Reason.LOST_CONNECTION)
        except Exception:
            # An unexpected error must not end the process and the requests of others.
            logger.exception("cannot read the answer of %s", self.address)
            self._retire(generation)
            return progress.fail(Reason.WRONG_ANSWER)
        finally:
            generation.n_calls -= 1
            await self._close_if_retired(generation)

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        progress: _Progress,
    ) -> HttpReply | FailedCall:
        async with pool.stream(
            method,
            f"http://{self.address}{path}",
            headers=list(headers.items()),
            content=body,
            extensions={"trace": progress.trace},
        ) as response:
            received = bytearray()
            n_chunks = 0
            async for part in response.aiter_stream():
                received += part
                n_chunks += 1
                if len(received) > MAX_ANSWER_BYTES or n_chunks > MAX_CHUNKS:
                    return progress.fail(Reason.WRONG_ANSWER)
            names = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
        return HttpReply(status=response.status, headers=names, body=bytes(received))

    def _retire(self, generation: _Generation) -> None:
        if generation is self._generation:
            self._generation = _Generation()

    async def _close_if_retired(self, generation: _Generation) -> None:
        if generation is not self._generation and generation.n_calls == 0:
            with trio.CancelScope(shield=True):
                await generation.pool.aclose()
