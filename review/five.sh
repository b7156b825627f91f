#!/bin/bash
# Runs the script of a case once without its disruption and five times with it: review/five.sh N
cd "$(dirname "$0")/.."
TROUBLE=0 "review/$1/run.sh" > /dev/null 2>&1
echo "TROUBLE=0: exit code $?, $(grep -E 'broken for' "review/$1/record.txt" | cut -d' ' -f2-)"
for attempt in 1 2 3 4 5; do
  "review/$1/run.sh" > /dev/null 2>&1
  echo "run $attempt: exit code $?, $(grep -E 'broken for' "review/$1/record.txt" | cut -d' ' -f2-)"
done
