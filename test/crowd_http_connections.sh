#!/bin/sh
# The crowd http_connections of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" http_connections ready control
