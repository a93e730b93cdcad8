"""Failures of the command line, each with its exit code."""

from gypsumfold import exceptions


class CommandError(exceptions.GypsumfoldError):
    """The base: what a command ends with.

    Args:
        reason: For the operator.
        lines: More lines, such as the difference to what is in force.
    """

    exit_code = 1

    def __init__(self, reason: str, lines: tuple[str, ...] = ()):
        self.reason = reason
        self.lines = lines
        super().__init__(reason)


class Differs(CommandError):
    """The files and what is in force differ; nothing was changed."""

    exit_code = 3


class Rejected(CommandError):
    """The change lost against another one or breaks a rule."""

    exit_code = 4


class NotRun(CommandError):
    """No node could be reached, or the log is down; nothing was changed."""

    exit_code = 5


class LogDown(NotRun):
    """The node cannot append to the log; nothing was changed."""


class Undetermined(CommandError):
    """The change may have taken effect; look before you repeat it."""

    exit_code = 6


class Invalid(CommandError):
    """A statement or a file is not valid."""

    exit_code = 7


class Unauthorized(CommandError):
    """The nodes do not know the token, or there is none."""

    exit_code = 8
