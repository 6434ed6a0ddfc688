"""Exit codes of the ``cranecart`` program, named in one place."""

import enum


class ExitCode(enum.IntEnum):
    """What the program tells the shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_DECLARATION = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
