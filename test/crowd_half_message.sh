#!/bin/sh
# The crowd half_message of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" half_message entry
