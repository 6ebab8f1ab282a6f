#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec node run.mjs
