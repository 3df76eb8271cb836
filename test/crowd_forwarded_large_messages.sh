#!/bin/sh
# The crowd large_messages of test/crowd/crowd.c at an instance that forwards its sessions.
set -eu
. test/crowd/processes.sh
run_crowd "$1" large_messages forwarded
