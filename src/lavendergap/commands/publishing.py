"""Writes an edit of the settings to the platform at most once.

The write is conditional on the version that the edit is based on, so that only one of
two concurrent edits is accepted. The object contains the ids of its edits, so that the
outcome of a write without a reply can be found by reading the object back: either it
contains the edit's id, or it has a newer version and the write can no longer succeed.
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

RETRY_DELAY_S = 0.25

_logger = get_logger(Category.SETTINGS)


@dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """An edit to publish: the complete new text and the version it is based on.

    `base` is 0 for the first settings of a deployment. `tree` is the parsed `text`,
    and `settings` are the checked settings from it.
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
    """The edit was accepted as this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The platform already has this text; nothing was written."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EditConflict:
    """Another edit came first; nothing was written. `head` is the current object."""

    version: int
    head: SettingsObject


@dataclass(frozen=True, kw_only=True, slots=True)
class NotWritten:
    """The edit was not accepted and will not be."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unresolved:
    """The edit may have been accepted; the object could not be read back in time."""

    reason: str


Publication = Accepted | Unchanged | EditConflict | NotWritten | Unresolved


async def publish(
    client: PlatformClient, proposal: Proposal, *, limit_s: float
) -> Publication:
    """Write `proposal` and return the outcome, within `limit_s` seconds.

    Raises ObjectError if the platform's object is invalid or would be too large.
    """
    publisher = _Publisher(client=client, proposal=proposal)
    with trio.move_on_after(limit_s):
        return await publisher.run()
    return publisher.give_up(publisher.last_problem)


class _Publisher:
    """One publication; `may_be_stored` is whether a write may have taken effect."""

    def __init__(self, *, client: PlatformClient, proposal: Proposal) -> None:
        self.client = client
        self.proposal = proposal
        self.may_be_stored = False
        self.last_problem = "the platform did not answer in time"

    async def run(self) -> Publication:
        """Read the base, write, and read back after a conflict or a lost reply."""
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
                    # Because of the condition, the same write takes effect at most
                    # once, so that a retry is safe.
                    self.may_be_stored = self.may_be_stored or outcome.sent
                    await self._pause(outcome)

    def give_up(self, reason: str) -> NotWritten | Unresolved:
        """Return the outcome after a failure that ends the publication."""
        # A refusal concerns the last write only; an earlier one may be in force.
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
                return EditConflict(version=version, head=value)
            if version == base:
                if value.text == self.proposal.text:
                    return Unchanged(version=version)
                return value
            self.last_problem = f"the platform shows version {version}, before the base"
            await trio.sleep(RETRY_DELAY_S)

    async def _read_head(self) -> tuple[int, SettingsObject] | None:
        """Return the current version and object, or None if there is none."""
        while True:
            found = await self.client.get(self.proposal.key)
            match found:
                case Found(version=version, value=value):
                    key = self.proposal.key
                    return version, decode_settings_object(value, key=key)
                case Missing():
                    return None
                case Refused(status=status):
                    self.last_problem = f"the platform refuses the read with {status}"
                    await trio.sleep(RETRY_DELAY_S)
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
        """Determine which edit caused the conflict, possibly this one itself."""
        while True:
            head = await self._read_head()
            # A stale read may return the object from before the conflicting write.
            if head is not None and head[0] >= (current or self.proposal.base + 1):
                return self._classify_conflict(*head)
            self.last_problem = "the platform's reads lag behind its writes"
            await trio.sleep(RETRY_DELAY_S)

    def _classify_conflict(self, version: int, head: SettingsObject) -> Publication:
        ids = [edit.id for edit in head.edits]
        if self.proposal.id in ids:
            later = head.edits[ids.index(self.proposal.id) + 1 :]
            # The next edit is based on the version that this edit created.
            return Accepted(version=later[0].base if later else version)
        reaches_back = len(ids) < MAX_EDITS or head.edits[0].base <= self.proposal.base
        if self.may_be_stored and not reaches_back:
            reason = f"over {MAX_EDITS} edits came since; the history ends before it"
            return Unresolved(reason=reason)
        return EditConflict(version=version, head=head)

    async def _pause(self, outcome: Unavailable) -> None:
        self.last_problem = f"{outcome.peer}, step {outcome.step}: {outcome.reason}"
        await trio.sleep(max(RETRY_DELAY_S, outcome.retry_after_s))

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
