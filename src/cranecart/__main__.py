"""Run the command line as ``python -m cranecart``."""

import gc
import sys

from cranecart import listening

if __name__ == '__main__':
    listening.open_early()
    # Loading a command turns collection on again (``cli._registry``).
    gc.disable()

from cranecart.cli import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
