#!/bin/sh
# Builds the stand-ins that the scripts start, in target/review: the project's own store and target, and a proxy.
set -eu
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j "$(nproc)" --target platformstandin targetstandin silentproxy
