#!/bin/sh
# A frozen primary resumes after another database was promoted, and a frozen
# entry instance resumes after its lease expired: neither may acknowledge a write
# or serve a stale read.
set -u
B=$1
. test/cluster.inc
deploy_small
load_begin 11
sleep 2
old=$(primary_of ledger)
fault "$(ledger_port "$old")" freeze >/dev/null
until_true 5 promoted 2 || fail "no promotion"
fault "$(ledger_port "$old")" heal >/dev/null
sleep 1
kill -STOP "$(cat "$W/small-entry-1.pid")"
sleep 2
kill -CONT "$(cat "$W/small-entry-1.pid")"
until_true 5 serves small-entry-1 ledger || fail "the entry instance does not serve again"
load_end
echo ok
