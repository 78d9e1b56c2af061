"""Reads the branches of a settings tree and resolves what each one inherits."""

import difflib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from ..errors import Problem
from .options import (
    BRANCHES,
    OPTIONS,
    STRAGGLERS_OPTIONS,
    BranchKind,
    Level,
    Option,
    list_branches,
    list_options,
)
from .settings import GiveUpStragglers, StragglerPolicy, WaitForCoverage
from .syntax import join_path, parse_text
from .values import (
    StragglersValue,
    Value,
    check_value,
    describe_kind,
    is_name,
)

DEFAULT = "(default)"
"""The source of a value that no branch states."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Resolved:
    """A value in force at a branch and the path of the branch that states it.

    `source` is empty for the top of the tree and `DEFAULT` for the table's default.
    """

    value: Value
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Branch:
    """A branch of the tree with every option in force there, inherited ones too.

    An option whose value was refused, or that is stated nowhere and has no default,
    is missing from `options`. `is_whole` is false where the branch, or what should
    hold its children, was no object.
    """

    name: str
    path: str
    level: Level
    options: Mapping[str, Resolved]
    children: tuple["Branch", ...]
    is_whole: bool = True

    def get(self, name: str) -> Value | None:
        """Return the value of option `name` in force here, or None."""
        found = self.options.get(name)
        return None if found is None else found.value

    def list_children(self, level: Level) -> tuple["Branch", ...]:
        """Return the branches of `level` right below this one."""
        return tuple(child for child in self.children if child.level is level)

    def walk(self) -> Iterator["Branch"]:
        """Yield this branch and all below it, from the top down."""
        yield self
        for child in self.children:
            yield from child.walk()


Report = Callable[[Problem], None]
_Options = dict[str, Resolved | None]
"""Options by name; None stands for a value that was refused, and is inherited so
that one mistake is told once."""


def read_tree(text: str | bytes, *, file: str, report: Report) -> Branch:
    """Return the settings tree in `text`, telling `report` each problem in it.

    Raises SettingsError where the text is no JSON with comments at all. References
    and combinations between branches are the matter of `state.check`.
    """
    raw = parse_text(text, file=file)
    reader = _Reader(file=file, report=report)
    return reader.read(raw, name="", path="", level=Level.DEPLOYMENT, inherited={})


class _Reader:
    """Walks a raw tree from the top down, handing options from parent to child."""

    def __init__(self, *, file: str, report: Report) -> None:
        self.file = file
        self.report = report

    def read(
        self, raw: Any, *, name: str, path: str, level: Level, inherited: _Options
    ) -> Branch:
        """Read the branch `raw` and all that is below it."""
        if not isinstance(raw, dict):
            self._refuse(path, f"expected an object {{ ... }} for this {level}")
            return Branch(
                name=name,
                path=path,
                level=level,
                options={},
                children=(),
                is_whole=False,
            )
        options: _Options = {
            option.name: inherited[option.name]
            for option in list_options(level)
            if option.name in inherited
        }
        options.update(self._read_stated(raw, path=path, level=level))
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
            is_whole=None not in read,
        )

    def _read_stated(
        self, raw: Mapping[str, Any], *, path: str, level: Level
    ) -> _Options:
        """Check the options that the branch itself states."""
        known = {option.name: option for option in list_options(level)}
        branches = {kind.key for kind in list_branches(level)}
        stated: _Options = {}
        for key, value in raw.items():
            option = known.get(key)
            if option is not None:
                checked = self._check(option, value, path=join_path(path, key))
                stated[key] = checked and Resolved(value=checked[0], source=path)
            elif key not in branches:
                self._refuse(join_path(path, key), _explain_unknown(key, level))
        return stated

    def _check(self, option: Option, raw: Any, *, path: str) -> tuple[Value] | None:
        """Return the value as a tuple of one, so that false is not taken for none."""
        if isinstance(option.kind, StragglersValue):
            policy = self._read_stragglers(raw, path=path)
            return None if policy is None else (policy,)
        value = check_value(option.kind, raw)
        if value is None:
            shown = show_raw(raw)
            self._refuse(path, f"expected {describe_kind(option.kind)}, found {shown}")
            return None
        return (value,)

    def _read_stragglers(self, raw: Any, *, path: str) -> StragglerPolicy | None:
        kind = raw.get("kind") if isinstance(raw, dict) else None
        if not isinstance(kind, str) or kind not in STRAGGLERS_OPTIONS:
            wanted = describe_kind(StragglersValue())
            # "Found an object" tells nobody which word is wrong when it has a kind.
            place = path if kind is None else join_path(path, "kind")
            shown = show_raw(raw if kind is None else kind)
            self._refuse(place, f"expected {wanted}, found {shown}")
            return None
        known = {option.name: option for option in STRAGGLERS_OPTIONS[kind]}
        values = {name: option.default for name, option in known.items()}
        is_whole = True
        for key, value in raw.items():
            place = join_path(path, key)
            if key in known:
                checked = self._check(known[key], value, path=place)
                is_whole = is_whole and checked is not None
                values[key] = checked[0] if checked else None
            elif key != "kind":
                self._refuse(place, _explain_near(key, known))
                is_whole = False
        return _make_stragglers(kind, values) if is_whole else None

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
            self._refuse(place, f"expected an object that maps names to {kind.key}")
            return None
        return [
            self._read_named(branch, name, kind, path=place, inherited=inherited)
            for name, branch in named.items()
        ]

    def _read_named(
        self, raw: Any, name: str, kind: BranchKind, *, path: str, inherited: _Options
    ) -> Branch:
        place = join_path(path, name)
        if not is_name(name):
            self._refuse(place, "expected a name of letters, digits, - and _ (max. 63)")
        return self.read(
            raw, name=name, path=place, level=kind.level, inherited=inherited
        )

    def _resolve(
        self, options: _Options, *, path: str, level: Level
    ) -> dict[str, Resolved]:
        """Drop what was refused, fill in defaults and miss what has none."""
        resolved: dict[str, Resolved] = {}
        for option in list_options(level):
            if option.name in options:
                found = options[option.name]
                if found is not None:
                    resolved[option.name] = found
                continue
            default = _pick_default(option, resolved)
            if default is not None:
                resolved[option.name] = Resolved(value=default, source=DEFAULT)
            elif option.lowest is level:
                wanted = describe_kind(option.kind)
                place = join_path(path, option.name)
                self._refuse(place, f"missing; expected {wanted}")
        return resolved

    def _refuse(self, path: str, expected: str) -> None:
        self.report(Problem(file=self.file, path=path, expected=expected))


def _pick_default(option: Option, resolved: Mapping[str, Resolved]) -> Value | None:
    idempotent = resolved.get("idempotent")
    if option.extra_calls and idempotent is not None and idempotent.value is False:
        return 0.0
    return option.default


def _make_stragglers(
    kind: str, values: Mapping[str, Value | None]
) -> StragglerPolicy | None:
    if kind == "wait":
        return WaitForCoverage()
    min_share = values["min_share"]
    patience = values["patience"]
    assert isinstance(min_share, float)
    assert isinstance(patience, float)
    return GiveUpStragglers(min_share=min_share, patience=patience)


def _explain_unknown(key: str, level: Level) -> str:
    for option in OPTIONS:
        if option.name == key:
            levels = ", ".join(option.levels)
            return f"this option may stand at: {levels}; not at a {level}"
    for kind in BRANCHES:
        if kind.key == key:
            return f"this branch belongs in a {kind.parent}, not in a {level}"
    known = [option.name for option in list_options(level)]
    return _explain_near(key, known + [kind.key for kind in list_branches(level)])


def _explain_near(key: str, known: Mapping[str, object] | list[str]) -> str:
    near = difflib.get_close_matches(key[:_LONGEST_KEY], list(known), n=1)
    if near:
        return f"unknown; did you mean {near[0]}?"
    return f"unknown; expected one of: {', '.join(known) or 'nothing'}"


_LONGEST_KEY = 63
_SHOWN_VALUE = 40


def show_raw(raw: object) -> str:
    """Return a short form of a refused value for a message, on one line."""
    shown = ascii(raw) if not isinstance(raw, (dict, list)) else type(raw).__name__
    words = {"dict": "an object", "list": "a list", "None": "null"}
    shown = words.get(shown, {"True": "true", "False": "false"}.get(shown, shown))
    return shown if len(shown) <= _SHOWN_VALUE else f"{shown[:_SHOWN_VALUE]}..."
