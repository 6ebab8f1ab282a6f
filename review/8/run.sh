#!/bin/bash
# One invalid configuration with very many faults. With TROUBLE=0 it has three.
cd "$(dirname "$0")" && exec node case.js
