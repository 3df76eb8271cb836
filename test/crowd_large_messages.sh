#!/bin/sh
# The crowd large_messages of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" large_messages entry
