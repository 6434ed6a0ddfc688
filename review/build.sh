#!/bin/sh
# The stand-ins are Python files that need the standard library only: check that
# they compile. The nodes are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
