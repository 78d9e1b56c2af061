"""The errors that a person may see; each message says what to do about it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One thing wrong in a settings file: where it stands and what was expected.

    `path` is the place in the tree, such as `services.scheduler.deadline_ms`, or
    `line:column` where the text is no JSON at all.
    """

    file: str
    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path or '(top)'}: {self.expected}"


class LavendergapError(Exception):
    """Base of all errors shown to a person as one line on stderr.

    `exit_code` is what the command line ends with; see docs/operators/commands.md.
    """

    exit_code = 1


class SettingsError(LavendergapError):
    """The settings cannot be used; nothing was started or written.

    `problems` holds everything that is wrong, so that an operator mends a file in
    one go.
    """

    exit_code = 2

    def __init__(self, *, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class ObjectError(LavendergapError):
    """An object of the platform, or its copy from a peer, is not what it should be.

    Whoever reads it keeps what was in force before.
    """

    def __init__(self, *, key: str, problem: str) -> None:
        self.key = key
        self.problem = problem
        super().__init__(f"{key}: {problem}")


class UnreachableError(LavendergapError):
    """No entry host, or no platform, answered in time."""

    exit_code = 3


class ConflictError(LavendergapError):
    """Another operator's edit came first; the message shows what it changed."""

    exit_code = 4


class NotInForceError(LavendergapError):
    """An accepted edit is not in force on every process within the time given."""

    exit_code = 5
