#!/bin/sh
# Put the run-time libraries and the package into target/deps.
set -eu
if ! [ target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps/.ready
fi
# Left alone where nothing changed, as days that are played may be using it.
if ! diff -qr -x __pycache__ src/cranecart target/deps/cranecart >/dev/null; then
    rm -rf target/deps/cranecart
    cp -R src/cranecart target/deps/cranecart
    # Nodes may not write there, and without bytecode each of their starts would
    # compile all modules. Unchecked: no source changes under a running system.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
fi
