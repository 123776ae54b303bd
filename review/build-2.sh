#!/bin/sh
# Prepares the scripts of this review, after the build of the deploy file. Their stand-ins are plain
# modules that need no build; this checks that they, and the program that they start, are there.
set -e
cd "$(dirname "$0")/.."
test -f target/gateway.mjs
for file in review/harness-2.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
