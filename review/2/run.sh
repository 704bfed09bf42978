#!/bin/sh
# Writes record.txt in this folder: what was sent, answered and run.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
