#!/bin/sh
# A partition separates the primary from control and its replicas while clients
# still reach it: it must not acknowledge writes, and no acknowledged write may
# be lost when the partition heals.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 9
sleep 2
old=$(primary_of ledger)
fault "$(ledger_port "$old")" cut >/dev/null
until_true 5 promoted 2 || fail "no promotion"
sleep 1
fault "$(ledger_port "$old")" heal >/dev/null
follows () { [ "$(sql "$(ledger_port "$old")" "SELECT * FROM pimentopost_status()" | cut -d'|' -f2)" = replica ]; }
until_true 5 follows || fail "the old primary does not follow"
load_end
echo ok
