"""Run the command line as ``python -m cranecart``."""

import sys

from cranecart.cli import main

if __name__ == '__main__':
    sys.exit(main())
