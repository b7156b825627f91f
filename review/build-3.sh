#!/bin/sh
# Compiles the stand-ins of the scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3/program target/review-3/classes
java review/standins-3/tools/Unpack.java target/hyssopport target/review-3/program
javac -nowarn -proc:none -d target/review-3/classes -cp target/review-3/program review/standins-3/*.java
