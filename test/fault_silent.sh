#!/bin/sh
# All open connections of the primary, then of a replica, stop delivering data
# for good while new ones work: requests must go on over new connections, and
# requests in flight must be answered with their true outcome.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 10
sleep 2
p=$(primary_of ledger)
fault "$(ledger_port "$p")" silent >/dev/null
sleep 3
for n in 1 2 3; do until_true 5 serves small-entry-$n ledger || fail "small-entry-$n does not serve"; done
r=$((p % 3 + 1))
fault "$(ledger_port "$r")" silent >/dev/null
load_end
echo ok
