"""Parses the branches of a settings tree and resolves inherited options."""

import difflib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from ..errors import Problem
from .levels import BranchKind, Level, Option
from .options import (
    BRANCHES,
    OPTIONS,
    STRAGGLERS_OPTIONS,
    list_branches,
    list_options,
)
from .settings import GiveUpStragglers, StragglerPolicy, WaitForCoverage
from .syntax import join_path, parse_text
from .values import (
    DigestsValue,
    StragglersValue,
    Value,
    check_value,
    describe_kind,
    is_digest,
    is_name,
)

DEFAULT = "(default)"
"""The source of a value that no branch sets."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Resolved:
    """The effective value of an option and the path of the branch that sets it.

    `source` is empty for the root of the tree and `DEFAULT` for a built-in default.
    """

    value: Value
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Branch:
    """A branch of the tree with all its effective options, including inherited ones.

    `options` lacks an option whose value is invalid, or that is not set and has no
    default. `is_well_formed` is false if the branch, or a member that should hold its
    children, is not an object.
    """

    name: str
    path: str
    level: Level
    options: Mapping[str, Resolved]
    children: tuple["Branch", ...]
    is_well_formed: bool = True

    def get(self, name: str) -> Value | None:
        """Return the effective value of option `name`, or None."""
        found = self.options.get(name)
        return None if found is None else found.value

    def list_children(self, level: Level) -> tuple["Branch", ...]:
        """Return the direct children that are branches of `level`."""
        return tuple(child for child in self.children if child.level is level)

    def walk(self) -> Iterator["Branch"]:
        """Yield this branch and its descendants in pre-order."""
        yield self
        for child in self.children:
            yield from child.walk()


ProblemReporter = Callable[[Problem], None]
_Options = dict[str, Resolved | None]
"""Options by name; None marks an invalid value. The mark is inherited, so that the
branches below do not report the same problem again."""


def read_tree(text: str | bytes, *, file: str, report: ProblemReporter) -> Branch:
    """Parse the settings tree in `text`; call `report` with each problem found.

    Raises SettingsError if the text is not JSON with comments. References and
    constraints between branches are checked by `state.check`.
    """
    raw = parse_text(text, file=file)
    reader = _Reader(file=file, report=report)
    return reader.read(raw, name="", path="", level=Level.DEPLOYMENT, inherited={})


class _Reader:
    """Parses a raw tree from the root down, passing options from parent to child."""

    def __init__(self, *, file: str, report: ProblemReporter) -> None:
        self.file = file
        self.report = report

    def read(
        self, raw: Any, *, name: str, path: str, level: Level, inherited: _Options
    ) -> Branch:
        """Parse the branch `raw` and its descendants."""
        if not isinstance(raw, dict):
            self._report_problem(path, f"expected an object {{ ... }} for this {level}")
            return Branch(
                name=name,
                path=path,
                level=level,
                options={},
                children=(),
                is_well_formed=False,
            )
        options: _Options = {
            option.name: inherited[option.name]
            for option in list_options(level)
            if option.name in inherited
        }
        options.update(self._read_options(raw, path=path, level=level))
        read = [
            self._read_children(raw, kind, path=path, inherited=options)
            for kind in list_branches(level)
        ]
        return Branch(
            name=name,
            path=path,
            level=level,
            options=self._resolve(options, path=path, level=level),
            children=tuple(child for children in read for child in children or ()),
            is_well_formed=None not in read,
        )

    def _read_options(
        self, raw: Mapping[str, Any], *, path: str, level: Level
    ) -> _Options:
        """Check the options that the branch itself sets."""
        known = {option.name: option for option in list_options(level)}
        branches = {kind.key for kind in list_branches(level)}
        own_options: _Options = {}
        for key, value in raw.items():
            option = known.get(key)
            if option is not None:
                checked = self._check(option, value, path=join_path(path, key))
                own_options[key] = checked and Resolved(value=checked[0], source=path)
            elif key not in branches:
                self._report_problem(
                    join_path(path, key), _describe_unknown_key(key, level)
                )
        return own_options

    def _check(self, option: Option, raw: Any, *, path: str) -> tuple[Value] | None:
        """Return a 1-tuple with the valid value, which may be falsy, or None."""
        if isinstance(option.kind, StragglersValue):
            policy = self._read_stragglers(raw, path=path)
            return None if policy is None else (policy,)
        if isinstance(option.kind, DigestsValue):
            digests = self._read_digests(raw, path=path)
            return None if digests is None else (digests,)
        value = check_value(option.kind, raw)
        if value is None:
            # A key may have been written into another option of its customer.
            is_hidden = Level.CUSTOMER in option.levels and isinstance(raw, str)
            shown = "a string" if is_hidden else format_raw(raw)
            self._report_problem(
                path, f"expected {describe_kind(option.kind)}, found {shown}"
            )
            return None
        return (value,)

    def _read_digests(self, raw: Any, *, path: str) -> tuple[str, ...] | None:
        """Check digests; what is reported shows no value, as it may be a key."""
        if not isinstance(raw, list):
            self._report_problem(path, f"expected {describe_kind(DigestsValue())}")
            return None
        wrong = [n for n, digest in enumerate(raw) if not is_digest(digest)]
        for number in wrong:
            self._report_problem(
                f"{path}[{number}]",
                "expected 64 hexadecimal digits, as `lavendergap settings hash-key` "
                "prints them for a key",
            )
        return None if wrong else tuple(digest.lower() for digest in raw)

    def _read_stragglers(self, raw: Any, *, path: str) -> StragglerPolicy | None:
        kind = raw.get("kind") if isinstance(raw, dict) else None
        if not isinstance(kind, str) or kind not in STRAGGLERS_OPTIONS:
            wanted = describe_kind(StragglersValue())
            # If there is a kind, point at it: "found an object" would not name it.
            place = path if kind is None else join_path(path, "kind")
            shown = format_raw(raw if kind is None else kind)
            self._report_problem(place, f"expected {wanted}, found {shown}")
            return None
        known = {option.name: option for option in STRAGGLERS_OPTIONS[kind]}
        values = {name: option.default for name, option in known.items()}
        is_well_formed = True
        for key, value in raw.items():
            place = join_path(path, key)
            if key in known:
                checked = self._check(known[key], value, path=place)
                is_well_formed = is_well_formed and checked is not None
                values[key] = checked[0] if checked else None
            elif key != "kind":
                self._report_problem(place, _suggest_key(key, known))
                is_well_formed = False
        return _build_stragglers(kind, values) if is_well_formed else None

    def _read_children(
        self,
        raw: Mapping[str, Any],
        kind: BranchKind,
        *,
        path: str,
        inherited: _Options,
    ) -> list[Branch] | None:
        place = join_path(path, kind.key)
        if not kind.named:
            branch = raw.get(kind.key, {})
            return [
                self.read(
                    branch, name=kind.key, path=place, level=kind.level, inherited={}
                )
            ]
        named = raw.get(kind.key, {})
        if not isinstance(named, dict):
            self._report_problem(
                place, f"expected an object that maps names to {kind.key}"
            )
            return None
        if kind.level is Level.CUSTOMER and kind.key in raw and not named:
            # Whoever removes the last customer would open all services to everyone.
            self._report_problem(
                place, "expected a customer; without this key, requests need no key"
            )
        return [
            self._read_named_child(branch, name, kind, path=place, inherited=inherited)
            for name, branch in named.items()
        ]

    def _read_named_child(
        self, raw: Any, name: str, kind: BranchKind, *, path: str, inherited: _Options
    ) -> Branch:
        place = join_path(path, name)
        if not is_name(name):
            self._report_problem(
                place, "expected a name of letters, digits, - and _ (max. 63)"
            )
        return self.read(
            raw, name=name, path=place, level=kind.level, inherited=inherited
        )

    def _resolve(
        self, options: _Options, *, path: str, level: Level
    ) -> dict[str, Resolved]:
        """Drop invalid values, apply defaults and report required options not set."""
        resolved: dict[str, Resolved] = {}
        for option in list_options(level):
            if option.name in options:
                found = options[option.name]
                if found is not None:
                    resolved[option.name] = found
                continue
            default = _get_default(option, resolved)
            if default is not None:
                resolved[option.name] = Resolved(value=default, source=DEFAULT)
            elif option.lowest is level:
                wanted = describe_kind(option.kind)
                place = join_path(path, option.name)
                self._report_problem(place, f"missing; expected {wanted}")
        return resolved

    def _report_problem(self, path: str, expected: str) -> None:
        self.report(Problem(file=self.file, path=path, expected=expected))


def _get_default(option: Option, resolved: Mapping[str, Resolved]) -> Value | None:
    idempotent = resolved.get("idempotent")
    if option.extra_calls and idempotent is not None and idempotent.value is False:
        return 0.0
    return option.default


def _build_stragglers(
    kind: str, values: Mapping[str, Value | None]
) -> StragglerPolicy | None:
    if kind == "wait":
        return WaitForCoverage()
    min_share = values["min_share"]
    patience = values["patience"]
    assert isinstance(min_share, float)
    assert isinstance(patience, float)
    return GiveUpStragglers(min_share=min_share, patience=patience)


def _describe_unknown_key(key: str, level: Level) -> str:
    for option in OPTIONS:
        if option.name == key:
            levels = ", ".join(option.levels)
            return f"this option is allowed at: {levels}; not at a {level}"
    for kind in BRANCHES:
        if kind.key == key:
            return f"this branch belongs in a {kind.parent}, not in a {level}"
    known = [option.name for option in list_options(level)]
    return _suggest_key(key, known + [kind.key for kind in list_branches(level)])


def _suggest_key(key: str, known: Mapping[str, object] | list[str]) -> str:
    near = difflib.get_close_matches(key[:_MAX_KEY_CHARS], list(known), n=1)
    if near:
        return f"unknown; did you mean {near[0]}?"
    return f"unknown; expected one of: {', '.join(known) or 'nothing'}"


_MAX_KEY_CHARS = 63
_MAX_SHOWN_CHARS = 40


def format_raw(raw: object) -> str:
    """Return an invalid value for a message: one line, truncated if it is long."""
    shown = ascii(raw) if not isinstance(raw, (dict, list)) else type(raw).__name__
    words = {"dict": "an object", "list": "a list", "None": "null"}
    shown = words.get(shown, {"True": "true", "False": "false"}.get(shown, shown))
    return shown if len(shown) <= _MAX_SHOWN_CHARS else f"{shown[:_MAX_SHOWN_CHARS]}..."
