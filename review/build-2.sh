#!/bin/sh
# Builds the stand-ins and clients of the cases from 4 on, in build-review-2/. Needs g++ and nlohmann-json3-dev, which the
# deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
parts="wire record store server client fleet"
objects=""
for part in $parts; do
    objects="$objects build-review-2/$part.o"
    # shellcheck disable=SC2086
    g++ $flags -c "review/standins-2/$part.cpp" -o "build-review-2/$part.o"
done
for name in lowerlimit secondrejection strangerentry pipelinebreak endlessbody; do
    # shellcheck disable=SC2086
    g++ $flags "review/standins-2/$name.cpp" $objects -o "build-review-2/$name"
done
