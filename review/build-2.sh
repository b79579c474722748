#!/bin/sh
# Builds the stand-ins and the cases of the second review, from the root of the repository. Needs Java 17 alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/rig-2/*.java $(ls review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java 2>/dev/null)
