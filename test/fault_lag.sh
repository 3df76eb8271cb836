#!/bin/sh
# Both replicas lag by 1.5 s: writes and reads go on, and every session must
# read its own writes.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 9
sleep 2
p=$(primary_of ledger)
for i in 1 2 3; do [ "$i" = "$p" ] || fault "$(ledger_port "$i")" lag 1500 >/dev/null; done
sleep 3
for i in 1 2 3; do fault "$(ledger_port "$i")" heal >/dev/null; done
load_end
echo ok
