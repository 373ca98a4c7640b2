#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/*.java
