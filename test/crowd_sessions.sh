#!/bin/sh
# The crowd sessions of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" sessions entry
