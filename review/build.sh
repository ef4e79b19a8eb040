#!/bin/sh
# Compiles the stand-ins and the cases' programs; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java
