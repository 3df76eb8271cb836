#!/bin/sh
# The crowd slow_senders of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" slow_senders entry
