#!/bin/sh
# Builds the stand-ins and the cases of the second review, from the root of the repository. Needs Java 17 alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/rig-2/*.java review/[6-9]/*.java
