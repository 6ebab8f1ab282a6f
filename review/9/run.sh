#!/bin/bash
# The first configuration has version 0, or version 1 with TROUBLE=0.
cd "$(dirname "$0")" && exec node case.js
