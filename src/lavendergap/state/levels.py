"""What an option and a branch of the settings tree are."""

from dataclasses import dataclass
from enum import StrEnum

from .values import Kind, Value


class Level(StrEnum):
    """The kinds of branches in the settings tree."""

    DEPLOYMENT = "deployment"
    CONTROL = "control"
    DATA_CENTRE = "data centre"
    HOST = "host"
    CUSTOMER = "customer"
    SERVICE = "service"
    GROUP = "group"
    SERVER = "server"


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """One option: its kind, its default and the levels that allow it.

    `levels` run from the highest to the lowest; branches of the lowest use the value.
    `default` is None if an operator has to set the option. `unit` is empty for
    dimensionless values. `extra_calls` marks options that allow repeated calls: for a
    service that is not idempotent they default to 0 and allow no other value.
    """

    name: str
    kind: Kind
    levels: tuple[Level, ...]
    help: str
    unit: str = ""
    default: Value | None = None
    extra_calls: bool = False

    @property
    def lowest(self) -> Level:
        """The level whose branches use the value."""
        return self.levels[-1]


@dataclass(frozen=True, kw_only=True, slots=True)
class BranchKind:
    """A key of a `parent` branch that holds child branches of `level`.

    If `named`, the key maps names to branches; otherwise it holds a single branch.
    """

    key: str
    parent: Level
    level: Level
    named: bool
    help: str
