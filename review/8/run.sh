#!/bin/sh
# Runs the case with the program of the deploy file and the stand-ins that review/build-2.sh builds. Exit status: 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it runs without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/platform/galenahillnode ] && [ -x build-review-2/endlessbody ] || exit 2
exec build-review-2/endlessbody "$here/record.txt"
