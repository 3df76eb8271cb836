#!/bin/sh
# A message of legal size is served in calm, within the limits of the settings.
set -eu
. test/crowd/processes.sh
run_crowd "$1" calm entry
