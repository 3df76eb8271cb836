#!/bin/sh
# The primary is killed under load, and its successor as soon as the first one
# follows again: no acknowledged write may be lost or duplicated, no read may be
# stale, and restarted databases must follow the new primary.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 14
sleep 2
first=$(primary_of ledger)
stop "ledger-$first" KILL
until_true 5 promoted 2 || fail "no promotion after the first kill"
start_db ledger "$first"
follows () { [ "$(sql "$(ledger_port "$1")" "SELECT * FROM pimentopost_status()" | cut -d'|' -f1,2)" = "$2|replica" ]; }
until_true 5 follows "$first" 2 || fail "the killed database does not follow"
second=$(primary_of ledger)
stop "ledger-$second" KILL
until_true 8 promoted 3 || fail "no promotion after the second kill"
start_db ledger "$second"
until_true 5 follows "$second" 3 || fail "the second killed database does not follow"
load_end
[ "$(report worst_gap_ms)" -ge 0 ] || fail "the load tool saw no failover"
echo ok
