#!/bin/sh
# The crowd large_answers of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" large_answers entry
