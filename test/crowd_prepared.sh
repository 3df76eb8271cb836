#!/bin/sh
# The crowd prepared of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" prepared entry
