#!/bin/sh
# The crowd http_sent_ahead of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" http_sent_ahead ready control
