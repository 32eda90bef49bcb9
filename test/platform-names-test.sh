#!/usr/bin/env bash
# Checks that the sources outside of platform/ do not use names of fields and calls of the users'
# platform (deploy/, docs/ and test/ may).
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Request-Deadline|X-Expect-Instance|X-Not-Executed|X-Shard-Key|X-Handover|X-Response-Signature'
names+='|X-Server-Load|X-Warmup-Ms|warmupPerS|coldOver|coldSlack|Store-Era'
names+='|rows-tx|rows-get|rows-feed|blob-put|hold_time|healthPath"|maxConns|warmup_time|upserts'
if grep -rnE "$names" src include proto bench --include=*.cc --include=*.h --include=*.proto; then
  echo "Names of the users' platform are used outside of platform/"
  exit 1
fi
