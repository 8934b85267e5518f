#!/usr/bin/env bash
# Builds the stand-ins and tools that the scripts of the review start, into review/build/. The router itself comes from
# the build of deploy/system.toml, in target/.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build -j "$(nproc)"
