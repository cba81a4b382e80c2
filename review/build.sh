#!/bin/sh
# Builds the stand-ins of the review into review/target. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -d target/classes standin/*.java
