#!/bin/sh
# The stand-ins of the scripts are plain ECMAScript modules for Node 20 and need no build; this checks that they parse.
set -e
cd "$(dirname "$0")"
for file in [1-5]/*.mjs [1-5]/lib/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
