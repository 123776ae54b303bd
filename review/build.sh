#!/bin/sh
# The stand-ins are plain JavaScript in harness.mjs and need no build; this checks that they load.
set -e
cd "$(dirname "$0")"
for file in harness.mjs [1-5]/*.mjs; do
  node --check "$file"
done
