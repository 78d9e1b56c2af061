"""`lavendergap query`: sends a request like a caller and shows the coverage."""

import random
from http import HTTPStatus
from pathlib import Path
from typing import Any, BinaryIO

import click
import msgspec
import trio

from ..errors import LavendergapError, UnreachableError
from ..protocol.answers import RefusalBody, SearchBody
from ..state.settings import Host, Service, Settings
from ..state.tree import load_settings
from ..transport.httpclient import FailedCall, HttpClient, HttpReply
from .console import print_note, print_table
from .keys import read_key
from .options import json_option, settings_option

ANSWER_MARGIN_S = 2.0
"""How long after its deadline the answer to a request is still accepted."""

_MAX_RESULT_CHARACTERS = 200


@click.command()
@settings_option
@click.argument("service")
@click.option("--body", default="{}", show_default=True, help="The query, as JSON.")
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=1),
    help="The deadline of the answer; the service's own by default.",
)
@click.option(
    "--host",
    "host_name",
    metavar="NAME",
    help="Send the request to this entry host only.",
)
@click.option("--ticket", help="Repeat a request with its ticket to get its outcome.")
@click.option(
    "--key-file",
    type=click.File("rb"),
    help="Send the customer's key in this file; - for standard input.",
)
@json_option
def query(
    settings_path: Path,
    service: str,
    body: str,
    deadline_ms: int | None,
    host_name: str | None,
    ticket: str | None,
    key_file: BinaryIO | None,
    as_json: bool,
) -> None:
    """Query SERVICE through an entry host and show the answer with its coverage.

    For a service that is not idempotent, a ticket is taken first. If the answer is
    lost, repeat the command with that --ticket: the request runs at most once.
    """
    _check_body(body)
    settings = load_settings(settings_path)
    asked = settings.get_service(service)
    if asked is None:
        known = ", ".join(s.name for s in settings.services)
        raise click.UsageError(f"there is no service {service!r}; known: {known}")
    request = _Request(
        hosts=_choose_hosts(settings, host_name),
        service=asked,
        body=body.encode(),
        deadline_ms=deadline_ms or asked.deadline_ms,
        key=None if key_file is None else read_key(key_file),
    )
    if asked.idempotent:
        reply = trio.run(request.search)
    else:
        reply = trio.run(request.run, ticket)
    _show(reply, as_json=as_json)


def _check_body(body: str) -> None:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise click.BadParameter(f"--body is not JSON: {error}") from None


def _choose_hosts(settings: Settings, name: str | None) -> list[Host]:
    if name is None:
        return random.sample(settings.hosts, len(settings.hosts))
    host = settings.get_host(name)
    if host is None:
        known = ", ".join(h.name for h in settings.hosts)
        raise click.UsageError(f"there is no host {name!r}; known: {known}")
    return [host]


class _Request:
    """One request that is sent to the hosts in turn until one answers."""

    def __init__(
        self,
        *,
        hosts: list[Host],
        service: Service,
        body: bytes,
        deadline_ms: int,
        key: bytes | None,
    ) -> None:
        self.hosts = hosts
        self.service = service
        self.body = body
        self.deadline_ms = deadline_ms
        self.key = key

    async def search(self) -> HttpReply:
        """Query an idempotent service."""
        return await self._call("query")

    async def run(self, ticket: str | None) -> HttpReply:
        """Run a request that is not idempotent, at most once."""
        if ticket is None:
            issued = await self._call("tickets")
            if issued.status != HTTPStatus.CREATED:
                return issued
            ticket = str(msgspec.json.decode(issued.body)["ticket"])
        print_note(f"ticket {ticket}")
        try:
            return await self._call("requests", ticket=ticket)
        except UnreachableError as error:
            raise UnreachableError(
                f"{error}; the request may have run: ask again with --ticket {ticket}"
            ) from None

    async def _call(self, what: str, *, ticket: str | None = None) -> HttpReply:
        headers = {
            "Content-Type": "application/json",
            "Deadline-Ms": str(self.deadline_ms),
        }
        if ticket is not None:
            headers["Ticket"] = ticket
        if self.key is not None:
            headers["Customer-Key"] = self.key.decode("ascii")
        path = f"/v1/services/{self.service.name}/{what}"
        failures = []
        for host in self.hosts:
            reply = await self._post(host, path, headers)
            if isinstance(reply, HttpReply):
                return reply
            failures.append(f"{host.name} (step {reply.step}: {reply.reason})")
        raise UnreachableError(
            f"no entry host answers: {', '.join(failures)}; see `lavendergap status`"
        )

    async def _post(
        self, host: Host, path: str, headers: dict[str, str]
    ) -> HttpReply | FailedCall:
        client = HttpClient(address=host.callers)
        try:
            return await client.call(
                "POST",
                path,
                limit_s=self.deadline_ms / 1_000 + ANSWER_MARGIN_S,
                headers=headers,
                body=self.body,
            )
        finally:
            await client.aclose()


def _show(reply: HttpReply, *, as_json: bool) -> None:
    if as_json:
        click.echo(reply.body.decode("utf-8", "replace"))
    if reply.status != HTTPStatus.OK:
        raise LavendergapError(_format_refusal(reply))
    if as_json:
        return
    try:
        answer = msgspec.json.decode(reply.body, type=SearchBody)
    except msgspec.ValidationError:
        # The answer to a request that runs once has a result and no coverage.
        _show_run(msgspec.json.decode(reply.body))
        return
    _show_search(answer)


def _show_search(answer: SearchBody) -> None:
    coverage = answer.coverage
    click.echo(f"request   {answer.request_id}: {answer.outcome}")
    click.echo(
        f"snapshot  {answer.snapshot.service}, version {answer.snapshot.version}"
    )
    click.echo(
        f"coverage  {coverage.answered} of {coverage.asked} shards, "
        f"{coverage.share:.1%} of the library"
    )
    if coverage.missing:
        missing = [(m.shard, m.reason, m.step, m.peer) for m in coverage.missing]
        print_table(("NOT COVERED", "REASON", "STEP", "PEER"), missing)
    results = [(r.shard, _shorten(bytes(r.result))) for r in answer.results]
    print_table(("SHARD", "RESULT"), results)


def _show_run(answer: dict[str, Any]) -> None:
    click.echo(f"request   {answer.get('request_id')}: {answer.get('outcome')}")
    shown = answer.get("result", answer.get("state"))
    click.echo(f"result    {_shorten(msgspec.json.encode(shown))}")


def _shorten(result: bytes) -> str:
    text = result.decode("utf-8", "replace")
    if len(text) <= _MAX_RESULT_CHARACTERS:
        return text
    return f"{text[:_MAX_RESULT_CHARACTERS]}..."


def _format_refusal(reply: HttpReply) -> str:
    try:
        body = msgspec.json.decode(reply.body, type=RefusalBody)
    except msgspec.MsgspecError:
        return f"the entry host answers {reply.status}: {_shorten(reply.body)}"
    return (
        f"request {body.request_id}: {body.outcome}; {body.reason} at step "
        f"{body.step}, {body.peer}; retry after {body.retry_after_ms} ms"
    )
