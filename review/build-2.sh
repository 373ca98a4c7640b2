#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2, which is not kept.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -nowarn -d target/review-2 review/Kit.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
