#!/bin/sh
# The crowd sent_ahead of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" sent_ahead entry
