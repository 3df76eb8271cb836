#!/bin/sh
# A replica, then the primary, then a control instance restart with an empty
# disk: no acknowledged write may be lost, and the control instance must get the
# current configuration again.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 16
sleep 1
p=$(primary_of ledger); r=$((p % 3 + 1))
in_term () { [ "$(sql "$(ledger_port "$1")" "SELECT * FROM pimentopost_status()" | cut -d'|' -f1,2)" = "$2" ]; }
stop "ledger-$r" KILL; rm -rf "$W/ledger-$r.data"; start_db ledger "$r"
until_true 8 in_term "$r" "1|replica" || fail "the empty replica does not follow"
sleep 2
stop "ledger-$p" KILL; rm -rf "$W/ledger-$p.data"; start_db ledger "$p"
until_true 8 promoted 2 || fail "no promotion"
until_true 8 in_term "$p" "2|replica" || fail "the empty primary does not follow"
stop small-control-1 KILL; rm -rf "$W/small-control-1"; start_instance small-control-1
restored () { "$B/bin/pimentopost" status --local --server "$(field small-control-1 address)" | grep -q 'version=1 '; }
until_true 10 restored || fail "the control instance with the empty disk did not get the configuration"
load_end
echo ok
