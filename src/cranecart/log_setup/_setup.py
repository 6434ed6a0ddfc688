"""Send logs to standard error, for commands without a log queue."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_TEXT_FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s %(fields)s'
_JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class _TextFormatter(logging.Formatter):
    """Appends the fields of a decision to its message."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record as text."""
        if not hasattr(record, 'fields'):
            record.fields = ''
        return super().format(record)


class _JsonLines(JsonFormatter):
    """Writes the fields of a decision at the top level of the object."""

    def process_log_record(
        self,
        log_data: dict[str, object],
    ) -> dict[str, object]:
        """Move the decision's fields to the top level of the object."""
        fields = log_data.pop('fields', None)
        if isinstance(fields, dict):
            return {**log_data, **fields}
        return log_data


def set_up_logging(*, as_json: bool, level: str, node: str = '') -> None:
    """Write logs of a level and above to standard error.

    ``node`` is added to every JSON line. Raise ``ValueError`` if the level is
    unknown.
    """
    handler = logging.StreamHandler(sys.stderr)
    if as_json:
        handler.setFormatter(
            _JsonLines(_JSON_FORMAT, static_fields={'node': node}),
        )
    else:
        handler.setFormatter(_TextFormatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
