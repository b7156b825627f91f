#!/bin/sh
# Builds the stand-ins of this review into target/review-2; needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
