"""A small HTTP server over trio streams that parses requests with h11."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import cache
from http import HTTPStatus
from urllib.parse import parse_qsl

import h11
import msgspec
import trio

from .spoiled import make_endless

MAX_BODY_BYTES = 2_000_000
MAX_RECEIVE_BYTES = 65_536
IDLE_TIMEOUT_S = 3_600.0
IDLE_UPDATE_INTERVAL_S = 60.0
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05
ENDLESS_PIECE_BYTES = 16_384
MAX_ENDLESS_BYTES = 64_000_000
STATUSES_WITHOUT_BODY = (204, 304)
EMPTY_RESPONSE = h11.Response(status_code=204, headers=[])
END_OF_MESSAGE = h11.EndOfMessage()
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One complete request; header names are in lower case.

    The values of a repeated header are joined by ", ".
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def get_options(self) -> dict[str, str]:
        """Return the query parameters; the last value of a repeated name is used."""
        return dict(parse_qsl(self.query, keep_blank_values=True))


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """One reply; all fields from `n_body_bytes_sent` on make it a faulty one.

    With `n_body_bytes_sent`, only so many bytes of the body are sent and the connection
    is closed, while Content-Length is that of the whole body. With `n_copies`, the
    reply is sent several times. If it `is_repeated`, it is sent again when the next
    request on the connection has arrived. `endless` is the kind of bytes that are sent
    in its place until the client closes, with `endless_pause_s` between two pieces.
    """

    status: int
    body: bytes = b""
    headers: Headers = ()
    n_body_bytes_sent: int | None = None
    n_copies: int = 1
    is_repeated: bool = False
    endless: str = ""
    endless_pause_s: float = 0.0


def make_json_reply(
    value: object, *, status: int = 200, headers: Headers = ()
) -> Reply:
    """Make a reply with `value` as its JSON body."""
    return Reply(
        status=status,
        body=msgspec.json.encode(value),
        headers=(("Content-Type", "application/json"), *headers),
    )


def make_error(status: int, message: str, *, headers: Headers = ()) -> Reply:
    """Make the reply `{"error": message}`."""
    return make_json_reply({"error": message}, status=status, headers=headers)


class RequestTooLargeError(Exception):
    """The body is over the limit."""


class Connection:
    """The server's side of one connection, which serves one request at a time.

    While `is_silent` is true, requests are read and dropped and no reply is sent.
    """

    def __init__(
        self, *, stream: trio.SocketStream, max_body_bytes: int = MAX_BODY_BYTES
    ):
        self._stream = stream
        self._max_body_bytes = max_body_bytes
        self._http = h11.Connection(our_role=h11.SERVER)
        self._has_early_bytes = False
        self._repeated = b""
        self.is_silent = False

    async def receive_request(self) -> Request | None:
        """Return the next request, or None if the client has closed the connection.

        Raises h11.RemoteProtocolError for malformed input and RequestTooLargeError.
        """
        head: h11.Request | None = None
        body: list[bytes] = []
        n_bytes = 0
        self._has_early_bytes = False
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                data = await self._stream.receive_some(MAX_RECEIVE_BYTES)
                self._http.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                n_bytes += len(event.data)
                if n_bytes > self._max_body_bytes:
                    raise RequestTooLargeError
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, b"".join(body))
            else:
                return None

    async def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._http.send(interim))

    async def send_reply(self, reply: Reply) -> bool:
        """Send `reply` and return whether the connection can serve another request."""
        is_kept = self._end_cycle()
        length = len(reply.body)
        lines = [f"HTTP/1.1 {reply.status} {_get_phrase(reply.status)}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        if reply.endless:
            await self._send_endless(reply, lines)
            return False
        # Replies with these statuses carry neither a body nor Content-Length.
        if reply.status not in STATUSES_WITHOUT_BODY:
            lines.append(f"Content-Length: {length}")
        if not is_kept:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        if reply.n_body_bytes_sent is not None:
            await self._stream.send_all(head + reply.body[: reply.n_body_bytes_sent])
            return False
        await self._stream.send_all((head + reply.body) * reply.n_copies)
        if reply.is_repeated:
            self._repeated = head + reply.body
        return is_kept

    async def _send_endless(self, reply: Reply, lines: list[str]) -> None:
        head = "".join(f"{line}\r\n" for line in lines).encode("latin-1")
        start, piece = make_endless(
            reply.endless,
            head,
            reply.body,
            n_bytes=1 if reply.endless_pause_s else ENDLESS_PIECE_BYTES,
        )
        await self._stream.send_all(start)
        for _ in range(MAX_ENDLESS_BYTES // len(piece)):
            await self._stream.send_all(piece)
            await trio.sleep(reply.endless_pause_s)

    async def send_repeated(self) -> None:
        """Send the last reply again, if it is to be repeated."""
        if self._repeated:
            repeated, self._repeated = self._repeated, b""
            await self._stream.send_all(repeated)

    def _end_cycle(self) -> bool:
        """Prepare h11 for the next request; return whether there can be one.

        h11 only parses requests. Replies are serialised here, since h11 takes much
        processor time for that; it is given an empty reply to advance its state.
        """
        self._http.send(EMPTY_RESPONSE)
        self._http.send(END_OF_MESSAGE)
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def wait_for_close(self) -> None:
        """Return when the client closes the connection; cancel it to stop waiting.

        Handlers wait here for a slot or for the end of a service time, so that one
        task notices both the timeout and the close. Bytes of a next request are kept;
        once some have arrived, the close is no longer noticed.
        """
        if not self._has_early_bytes:
            try:
                data = await self._stream.receive_some(MAX_RECEIVE_BYTES)
            except trio.BrokenResourceError:
                return
            if not data:
                return
            self._has_early_bytes = True
            self._http.receive_data(data)
        await trio.sleep_forever()

    async def ignore_until_closed(self) -> None:
        """Read and drop all input without a reply until the client closes."""
        while await self._stream.receive_some(MAX_RECEIVE_BYTES):
            pass

    def reset(self) -> None:
        """Make the next close send a reset, as when the server's host crashes."""
        linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._stream.socket.setsockopt(*linger)


Handler = Callable[[Request, Connection], Awaitable[Reply | None]]


@cache
def _get_phrase(status: int) -> str:
    return HTTPStatus(status).phrase


def _make_request(head: h11.Request, body: bytes) -> Request:
    path, _, query = head.target.decode("ascii").partition("?")
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(
        method=head.method.decode("ascii"),
        path=path,
        query=query,
        headers=headers,
        body=body,
    )


async def serve_connection(connection: Connection, handle: Handler) -> None:
    """Serve requests until the connection ends.

    It is closed when `handle` returns None and after an hour without a request.
    """
    with trio.CancelScope() as scope:
        await _serve_requests(connection, handle, scope)


async def _serve_requests(
    connection: Connection, handle: Handler, scope: trio.CancelScope
) -> None:
    deadline_set_at = float("-inf")
    try:
        while True:
            # Setting the deadline for each request would be costly, so it is only
            # updated once per interval.
            now = trio.current_time()
            if now - deadline_set_at > IDLE_UPDATE_INTERVAL_S:
                deadline_set_at = now
                scope.deadline = now + IDLE_TIMEOUT_S
            request = await connection.receive_request()
            if connection.is_silent:
                return await connection.ignore_until_closed()
            if request is None:
                return None
            await connection.send_repeated()
            reply = await handle(request, connection)
            if connection.is_silent:
                return await connection.ignore_until_closed()
            if reply is None or not await connection.send_reply(reply):
                return None
    except h11.RemoteProtocolError as error:
        await _send_final_reply(
            connection, make_error(error.error_status_hint, str(error))
        )
    except RequestTooLargeError:
        await _send_final_reply(connection, make_error(413, "The body is too large."))
    except trio.BrokenResourceError:
        pass


async def _send_final_reply(connection: Connection, reply: Reply) -> None:
    try:
        await connection.send_reply(reply)
    except (trio.BrokenResourceError, h11.LocalProtocolError):
        return


@dataclass(kw_only=True, slots=True)
class HttpServer:
    """A server that handles requests with `handle`.

    Connections beyond `max_connections` are closed at once.
    """

    ip: str
    port: int
    handle: Handler
    max_connections: int = 1_000
    max_body_bytes: int = MAX_BODY_BYTES
    n_connections: int = field(default=0, init=False)
    _listener: trio.SocketListener | None = field(default=None, init=False)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the task's status is the port."""
        self._listener = listener = await open_listener(self.ip, self.port)
        async with listener, trio.open_nursery() as nursery:
            task_status.started(listener.socket.getsockname()[1])
            while True:
                try:
                    stream = await accept(listener)
                except trio.ClosedResourceError:
                    return  # By close_port.
                if self.n_connections >= self.max_connections:
                    await trio.aclose_forcefully(stream)
                    continue
                self.n_connections += 1
                nursery.start_soon(self._serve, stream)

    def close_port(self) -> None:
        """Stop accepting connections, as a server process does when it exits."""
        if self._listener is not None:
            self._listener.socket.close()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = Connection(stream=stream, max_body_bytes=self.max_body_bytes)
        try:
            await serve_connection(connection, self.handle)
        finally:
            self.n_connections -= 1
            await trio.aclose_forcefully(stream)


async def open_listener(ip: str, port: int) -> trio.SocketListener:
    """Listen on an IP address and port."""
    (listener,) = await trio.open_tcp_listeners(port, host=ip, backlog=BACKLOG)
    return listener


async def accept(listener: trio.SocketListener) -> trio.SocketStream:
    """Accept the next connection; waits while no file descriptor is available."""
    while True:
        try:
            return await listener.accept()
        except OSError:
            await trio.sleep(ACCEPT_PAUSE_S)
