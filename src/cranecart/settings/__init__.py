"""Settings of one process."""

from cranecart.settings._native import NodeSettings
from cranecart.settings._reloading import LiveSettings
from cranecart.settings._serving import ServingSettings

__all__ = ('LiveSettings', 'NodeSettings', 'ServingSettings')
