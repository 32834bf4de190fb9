#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules that run as they are; this only checks that Node reads them.
set -eu
cd "$(dirname "$0")"
for file in [6-9]/*.mjs [6-9]/lib/*.mjs 10/*.mjs 10/lib/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
