#!/bin/sh
# Put the run-time libraries and the package into target/deps.
set -eu
if ! [ target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps/.ready
fi
rm -rf target/deps/cranecart
cp -R src/cranecart target/deps/cranecart
