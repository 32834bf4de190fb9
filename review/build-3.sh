#!/bin/sh
# The stand-ins of review/11 to review/15 are plain modules that need no build; this checks that they load.
cd "$(dirname "$0")" || exit 1
for file in 1[1-5]/*.mjs 1[1-5]/lib/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
