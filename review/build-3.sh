#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the programs of the deploy file. Their stand-ins are plain JavaScript that
# needs no libraries, and none of the project's own is used, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
