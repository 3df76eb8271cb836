#!/bin/sh
# The crowd settings of test/crowd/crowd.c.
set -eu
. test/crowd/processes.sh
run_crowd "$1" settings entry
