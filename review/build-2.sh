#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review-2, with the classes of the jar of
# the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/coltsfootproxy.jar -d target/review-2 review/standin-2/*.java
