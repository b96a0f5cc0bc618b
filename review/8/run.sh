#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec python3 -B "$(dirname "$0")/run.py"
