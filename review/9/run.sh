#!/usr/bin/env bash
# Runs the case; TROUBLE=0 does the same without the disruption. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/slateseam.jar ] && [ -f target/review-2/LeftBehind.class ] || { echo "build first: the deploy file's build, review/build-2.sh"; exit 2; }
exec java -Xmx512m -cp target/review-2 LeftBehind review/9
