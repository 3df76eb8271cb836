#!/bin/sh
# A replica that announces its departure must get no new reads after 3 s, and
# reads go on elsewhere.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 10
sleep 1
r=$(($(primary_of ledger) % 3 + 1))
reads () { DB=ppdbsim sql "$(ledger_port "$r")" "SELECT * FROM ppdbsim_stats()" | cut -d'|' -f2; }
[ "$(reads)" -gt 0 ] || fail "the replica served no reads before it announced its departure"
fault "$(ledger_port "$r")" leave >/dev/null
sleep 3
before=$(reads)
sleep 3
after=$(reads)
[ "$before" = "$after" ] || fail "the leaving replica served $((after - before)) more reads after 3 s"
load_end
echo ok
