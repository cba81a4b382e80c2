#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Run after the build of the
# deploy file.
set -e
cd "$(dirname "$0")"
rm -rf ../target/review-2
mkdir -p ../target/review-2
javac -Xlint:all -d ../target/review-2 standin-2/*.java
