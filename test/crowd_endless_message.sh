#!/bin/sh
# The crowd endless_message of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" endless_message entry
