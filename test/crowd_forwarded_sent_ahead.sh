#!/bin/sh
# The crowd sent_ahead of test/crowd/crowd.c at an instance that forwards its sessions.
set -eu
. test/crowd/processes.sh
run_crowd "$1" sent_ahead forwarded
