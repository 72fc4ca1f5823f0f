#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
javac -Xlint:all -d ../target/review-2 rig/*.java
