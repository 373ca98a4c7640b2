#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/slateseam.jar ] || [ ! -f target/review/BehindCut.class ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first" | tee review/3/record.txt
    exit 2
fi
exec java -cp target/review BehindCut review/3/record.txt
