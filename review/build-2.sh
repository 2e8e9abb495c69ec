#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 and later start: zinnia-flowpeer (callers and
# targets, for case 8). The build of the deploy file comes first; it needs the same packages.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e build/build.ninja ]; then
  cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
fi
cmake --build build --target zinnia-flowpeer
