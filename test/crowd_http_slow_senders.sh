#!/bin/sh
# The crowd http_slow_senders of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" http_slow_senders ready control
