#!/bin/sh
# The crowd http_large_bodies of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" http_large_bodies ready control
