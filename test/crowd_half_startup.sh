#!/bin/sh
# The crowd half_startup of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" half_startup entry
