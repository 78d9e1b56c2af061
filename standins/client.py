"""An HTTP client connection, for the load tool, measurements and tests."""

import select
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import h11
import msgspec
import trio

MAX_RECEIVE_BYTES = 65_536
MAX_ANSWER_BYTES = 8_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body decoded from JSON; raises msgspec.DecodeError."""
        return msgspec.json.decode(self.body)


class LostConnectionError(Exception):
    """The connection failed or ended before the whole answer was received.

    `has_answer_bytes` is true if a part of the answer was received.
    """

    def __init__(self, *, has_answer_bytes: bool):
        super().__init__("the connection ended before the whole answer was received")
        self.has_answer_bytes = has_answer_bytes


class Client:
    """A persistent connection that carries one request at a time."""

    def __init__(self, *, stream: trio.SocketStream):
        self._stream = stream
        self._http = h11.Connection(our_role=h11.CLIENT)
        self._has_answer_bytes = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent."""
        return self._http.our_state is h11.IDLE

    def has_input(self) -> bool:
        """Return whether there is input to read.

        Between requests, input means that the server has closed the connection, and
        a request sent over it would be lost.
        """
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send one request and return its whole answer.

        Raises LostConnectionError. After a cancelled request the connection is
        unusable and has to be closed.
        """
        lines = [*(headers or {}).items(), ("Host", "lavendergap")]
        lines.append(("Content-Length", str(len(body))))
        data = self._http.send(h11.Request(method=method, target=path, headers=lines))
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._has_answer_bytes = False
        try:
            await self._stream.send_all(data)
            answer = await self._receive()
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            raise LostConnectionError(
                has_answer_bytes=self._has_answer_bytes
            ) from error
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return answer

    async def _receive(self) -> Answer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(MAX_RECEIVE_BYTES)
                self._has_answer_bytes = self._has_answer_bytes or bool(data)
                self._http.receive_data(bytes(data))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise h11.RemoteProtocolError("the answer is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Answer(
                    status=head.status_code,
                    headers={n.decode(): v.decode() for n, v in head.headers},
                    body=bytes(body),
                )
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before an answer")

    async def aclose(self) -> None:
        """Close the connection without waiting."""
        await trio.aclose_forcefully(self._stream)


async def connect(ip: str, port: int) -> Client:
    """Open a connection; raises OSError when it is refused."""
    return Client(stream=await trio.open_tcp_stream(ip, port))
