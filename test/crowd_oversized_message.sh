#!/bin/sh
# The crowd oversized_message of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" oversized_message entry
