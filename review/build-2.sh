#!/bin/sh
# Builds the stand-ins and cases of the second review. Needs only the JDK, after the deploy file's build.
set -eu
cd "$(dirname "$0")/common-2"
rm -rf target
mkdir -p target/classes
exec javac --release 17 -Xlint:all -d target/classes src/review2/*.java
