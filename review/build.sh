#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain JavaScript for Node.js without libraries, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standIn/*.js */case.js; do node --check "$file"; done
