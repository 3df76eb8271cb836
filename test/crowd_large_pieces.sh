#!/bin/sh
# The crowd large_pieces of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" large_pieces entry
