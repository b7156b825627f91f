#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
cd "$root"
timeout -k 5 115 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp target/review/classes:target/review/lib \
  RestartedWorkerCase "$root" "$folder" "$here/record.txt"
result=$?
[ -n "$KEEP_LOGS" ] && cp "$folder"/*.log "$KEEP_LOGS"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
