#!/bin/bash
# Seeds that serve control and have no disk, then two machines of the core replaced one after the other (CONFIG). TROUBLE=0 leaves the seeds
# as they were.
cd "$(dirname "$0")" && exec node case.js
