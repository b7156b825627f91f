#!/bin/bash
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file: the
# stand-ins use the JSON library inside target/hyssopport, which is unpacked since javac can't read
# an executable archive.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/lib target/review/classes
(cd target/review/lib && jar xf ../../hyssopport com/fasterxml)
javac -nowarn -d target/review/classes -cp target/review/lib review/standins/*.java
