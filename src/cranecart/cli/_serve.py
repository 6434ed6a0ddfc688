"""Run a node on a deployment's platform. Usage: serve [SETTINGS_FILE].

Without an argument, the path is read from CRANECART_NODE_FILE.
"""

import os
from pathlib import Path

from cranecart.event_loop import run_until_complete
from cranecart.exceptions import ConfigError
from cranecart.exit_codes import ExitCode
from cranecart.logs import set_up_log_queue
from cranecart.serving import ServingNode
from cranecart.settings import LiveSettings, ServingSettings

FILE_VARIABLE = 'CRANECART_NODE_FILE'
# How long the end of the process waits for a slow reader of its log. Stopping
# leaves this much of the grace period.
_LAST_LINES_SECONDS = 0.2


def run(arguments: list[str]) -> ExitCode:
    """Serve until SIGTERM or SIGINT."""
    file = _settings_file(arguments)
    settings = ServingSettings.from_file(file)
    log_queue = set_up_log_queue(settings.log_level, settings.node_id)
    try:
        node = ServingNode(LiveSettings(settings, file), log_queue)
        run_until_complete(node.run)
    finally:
        log_queue.write_rest(_LAST_LINES_SECONDS)
    return ExitCode.OK


def _settings_file(arguments: list[str]) -> Path:
    path = arguments[0] if arguments else os.environ.get(FILE_VARIABLE, '')
    if not path:
        raise ConfigError(f'pass a settings file, or set {FILE_VARIABLE}')
    return Path(path)
