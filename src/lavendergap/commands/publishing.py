"""Writes an edit of the settings to the platform, once, and learns what became of it.

The write is conditional on the version that the edit was made from, so that of two
operators who race one is refused. It carries the edit's own id, so that a lost reply
leaves no doubt: the object read back has the id among its edits, or it has moved past
the base without it and the write can never take effect any more.
"""

import logging
from dataclasses import dataclass
from typing import Any

import trio

from ..logs import Category, get_logger, log_decision
from ..protocol.objects import (
    MAX_EDITS,
    Edit,
    SettingsObject,
    decode_settings_object,
    encode_settings_object,
    resolve_text,
)
from ..state.difference import list_changes
from ..state.settings import Settings
from ..state.syntax import parse_text
from ..transport.platform import (
    Conflict,
    Found,
    Missing,
    PlatformClient,
    Refused,
    Stored,
    Unavailable,
)

RETRY_S = 0.25

_logger = get_logger(Category.SETTINGS)


@dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """An edit that an operator wants: the whole new text and the version it is from.

    `base` is 0 for the first settings of a deployment. `tree` is the raw tree in
    `text`, `settings` what it states once checked.
    """

    key: str
    id: str
    base: int
    text: str
    tree: dict[str, Any]
    settings: Settings
    author: str
    at: str
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The edit took effect and made this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The platform has this very text already; nothing was written."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Overtaken:
    """Another edit came first; nothing was written. `head` is what is in place."""

    version: int
    head: SettingsObject


@dataclass(frozen=True, kw_only=True, slots=True)
class NotWritten:
    """The edit did not take effect and never will, for this reason."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unresolved:
    """The edit may have taken effect; the platform could not be read in time."""

    reason: str


Publication = Accepted | Unchanged | Overtaken | NotWritten | Unresolved


async def publish(
    client: PlatformClient, proposal: Proposal, *, limit_s: float
) -> Publication:
    """Write `proposal` and return what became of it, within `limit_s` seconds.

    Raises ObjectError where the platform's object is garbled or would be too large.
    """
    publisher = _Publisher(client=client, proposal=proposal)
    with trio.move_on_after(limit_s):
        return await publisher.run()
    return publisher.give_up(publisher.trouble)


class _Publisher:
    """One attempt to publish; `may_be_stored` once a write may have taken effect."""

    def __init__(self, *, client: PlatformClient, proposal: Proposal) -> None:
        self.client = client
        self.proposal = proposal
        self.may_be_stored = False
        self.trouble = "the platform did not answer in time"

    async def run(self) -> Publication:
        """Read the base, write, and resolve the write if its reply is lost."""
        start = await self._read_base()
        if not isinstance(start, SettingsObject):
            return start
        value = self._encode(start)
        while True:
            outcome = await self.client.put(
                self.proposal.key, value, base=self.proposal.base or None
            )
            self._log("write", outcome=outcome)
            match outcome:
                case Stored(version=version):
                    return Accepted(version=version)
                case Conflict(version=version):
                    return await self._resolve(version)
                case Refused(status=status, message=message):
                    reason = f"the platform refuses it with {status}: {message}"
                    return self.give_up(reason)
                case Unavailable():
                    # The same bytes under the same condition take effect at most
                    # once, so that trying again is safe and settles the matter.
                    self.may_be_stored = self.may_be_stored or outcome.sent
                    await self._pause(outcome)

    def give_up(self, reason: str) -> NotWritten | Unresolved:
        """Return what is known of the edit when nothing more can be done."""
        # A refusal speaks of this write alone; one before it may be in force.
        if self.may_be_stored:
            return Unresolved(reason=reason)
        return NotWritten(reason=reason)

    async def _read_base(self) -> SettingsObject | Publication:
        base = self.proposal.base
        while True:
            head = await self._read_head()
            if head is None:
                if base == 0:
                    return SettingsObject(text="{}")
                missing = f"the platform has no {self.proposal.key}"
                return NotWritten(reason=f"{missing}; write the first with --base 0")
            version, value = head
            if version > base:
                return Overtaken(version=version, head=value)
            if version == base:
                if value.text == self.proposal.text:
                    return Unchanged(version=version)
                return value
            self.trouble = f"the platform shows version {version}, before the base"
            await trio.sleep(RETRY_S)

    async def _read_head(self) -> tuple[int, SettingsObject] | None:
        """Return the object in place and its version, or None where there is none."""
        while True:
            found = await self.client.get(self.proposal.key)
            match found:
                case Found(version=version, value=value):
                    key = self.proposal.key
                    return version, decode_settings_object(value, key=key)
                case Missing():
                    return None
                case Refused(status=status):
                    self.trouble = f"the platform refuses the read with {status}"
                    await trio.sleep(RETRY_S)
                case Unavailable():
                    await self._pause(found)

    def _encode(self, start: SettingsObject) -> bytes:
        proposal = self.proposal
        changes = list_changes(parse_text(start.text, file="head"), proposal.tree)
        edit = Edit(
            id=proposal.id,
            author=proposal.author,
            at=proposal.at,
            message=proposal.message,
            changed=tuple(change.path for change in changes),
            base=proposal.base,
        )
        resolved = resolve_text(proposal.text, proposal.settings)
        value = start.add_edit(edit, text=proposal.text, resolved=resolved)
        return encode_settings_object(value)

    async def _resolve(self, current: int | None) -> Publication:
        """Find out whose edit the condition ran into: perhaps our own."""
        while True:
            head = await self._read_head()
            # A stale read shows the object as it was before the write it ran into.
            if head is not None and head[0] >= (current or self.proposal.base + 1):
                return self._judge(*head)
            self.trouble = "the platform's reads lag behind its writes"
            await trio.sleep(RETRY_S)

    def _judge(self, version: int, head: SettingsObject) -> Publication:
        ids = [edit.id for edit in head.edits]
        if self.proposal.id in ids:
            later = head.edits[ids.index(self.proposal.id) + 1 :]
            # The edit after ours was made from the version that ours had made.
            return Accepted(version=later[0].base if later else version)
        reaches_back = len(ids) < MAX_EDITS or head.edits[0].base <= self.proposal.base
        if self.may_be_stored and not reaches_back:
            reason = f"over {MAX_EDITS} edits came since; the history ends before it"
            return Unresolved(reason=reason)
        return Overtaken(version=version, head=head)

    async def _pause(self, outcome: Unavailable) -> None:
        self.trouble = f"{outcome.peer}, step {outcome.step}: {outcome.reason}"
        await trio.sleep(max(RETRY_S, outcome.retry_after_s))

    def _log(self, event: str, *, outcome: object) -> None:
        log_decision(
            _logger,
            event,
            request_id=self.proposal.id,
            level=logging.DEBUG,
            key=self.proposal.key,
            base=self.proposal.base,
            outcome=type(outcome).__name__,
            detail=outcome,
        )
