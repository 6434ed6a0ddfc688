"""Build the one file ``dist/cranecart``.

A pex: it unpacks itself into a folder that ``PEX_ROOT`` names (a tmpfs will
do) and goes on in the same process, so that it has no child. It needs a
Python 3.11 on the instance.
"""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_OUTPUT = _ROOT / 'dist' / 'cranecart'


def main() -> int:
    """Build; return the builder's exit code."""
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
