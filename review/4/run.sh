#!/bin/sh
# Runs the case; see claim.txt. Needs the build of deploy/system.toml and review/build-2.sh.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
export CASE_DIR
cd "$CASE_DIR/../.." || exit 2
[ -x build/review-2/case4 ] || exit 2
exec build/review-2/case4
