#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-3/program:target/review-3/classes QueueMoved "$PWD" "$PWD/review/15/record.txt"
