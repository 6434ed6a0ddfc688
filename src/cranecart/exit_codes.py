"""Exit codes of the ``cranecart`` program."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status that the program returns to the shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_DECLARATION = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
