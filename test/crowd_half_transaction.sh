#!/bin/sh
# The crowd half_transaction of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" half_transaction entry
