"""Errors that are shown to users; each message states how to fix the problem."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One problem in a settings file: its location and what was expected.

    `path` is the path in the tree, such as `services.scheduler.deadline_ms`, or
    `line:column` if the text is not valid JSON.
    """

    file: str
    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path or '(top)'}: {self.expected}"


class LavendergapError(Exception):
    """Base class of all errors that the command line shows on stderr.

    `exit_code` is the exit code of the command line; see docs/operators/commands.md.
    """

    exit_code = 1


class SettingsError(LavendergapError):
    """The settings are invalid; nothing was started or written.

    `problems` lists all problems, so that an operator can fix them at once.
    """

    exit_code = 2

    def __init__(self, *, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class ObjectError(LavendergapError):
    """An object of the platform, or a peer's copy of it, is invalid.

    Readers keep the version that was in force before.
    """

    def __init__(self, *, key: str, problem: str) -> None:
        self.key = key
        self.problem = problem
        super().__init__(f"{key}: {problem}")


class UnreachableError(LavendergapError):
    """No entry host answered in time, or the platform did not."""

    exit_code = 3


class ConflictError(LavendergapError):
    """The edit conflicts with a newer one; the message shows what that changed."""

    exit_code = 4


class NotInForceError(LavendergapError):
    """An accepted edit is not in force on every host within the given time."""

    exit_code = 5
