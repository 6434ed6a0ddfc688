"""Build the single-file executable ``dist/cranecart``.

The file is a pex: it unpacks itself into the folder in ``PEX_ROOT`` (a tmpfs is
sufficient) and runs in the same process, without a child. Python 3.11 must be
installed on the instance.
"""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_OUTPUT = _ROOT / 'dist' / 'cranecart'


def main() -> int:
    """Build the executable; return the exit code of pex."""
    _OUTPUT.parent.mkdir(exist_ok=True)
    constraints = _ROOT / 'requirements.txt'
    command = [
        sys.executable,
        '-m',
        'pex',
        str(_ROOT),
        '--constraints',
        str(constraints),
        '--console-script=cranecart',
        '--venv',
        '--no-emit-warnings',
        f'--output-file={_OUTPUT}',
    ]
    return subprocess.run(command, cwd=_ROOT, check=False).returncode


if __name__ == '__main__':
    sys.exit(main())
