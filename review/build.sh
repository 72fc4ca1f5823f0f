#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/standins/*.java
