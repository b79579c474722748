#!/bin/sh
# Compiles the stand-ins that the cases start; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf stand/out
mkdir -p stand/out
javac --release 17 -d stand/out stand/*.java
