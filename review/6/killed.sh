#!/bin/bash
# Seeds that serve control and have no disk, then all processes killed (RECOVER). TROUBLE=0 leaves the seeds as they were.
cd "$(dirname "$0")" && exec node killed.js
