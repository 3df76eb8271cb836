#!/bin/sh
# A primary is killed under load, and the one promoted in its place right after
# the repair: no acknowledged write may be lost or doubled, no read stale, and
# the databases that come back must follow.
set -u
B=$1
. test/cluster.inc
small
load_begin 14
sleep 2
first=$(primary_of ledger)
stop "ledger-$first" KILL
until_true 5 promoted 2 || fail "no promotion after the first loss"
start_db ledger "$first"
follows () { [ "$(sql "$(ledger_port "$1")" "SELECT * FROM pimentopost_status()" | cut -d'|' -f1,2)" = "$2|replica" ]; }
until_true 5 follows "$first" 2 || fail "the killed database does not follow"
second=$(primary_of ledger)
stop "ledger-$second" KILL
until_true 8 promoted 3 || fail "no promotion after the second loss"
start_db ledger "$second"
until_true 5 follows "$second" 3 || fail "the second killed database does not follow"
load_end
[ "$(report worst_gap_ms)" -ge 0 ] || fail "no failover was seen"
echo ok
