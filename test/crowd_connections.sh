#!/bin/sh
# The crowd connections of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" connections entry
