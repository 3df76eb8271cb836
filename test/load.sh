#!/bin/sh
# Checks that the load generator detects violations: a clean run passes; a lost
# write, a write applied twice and half of a transaction are each reported.
set -u
B=$1
. test/cluster.inc
P=25921 G=sticker-ledger-1
db () { spawn db "$B/bin/ppdbsim" -l 127.0.0.1:$P -n a --group $G --primary --members 1 --connections 60; until_true 5 answers $P 1 "SELECT 1" || fail "the database does not answer"; }
load () { "$B/bin/ppload" -q examples/tan.yaml --db $G=127.0.0.1:$P -r 200 -s "$1" -c 30 --baseline --mix sale=5,route-adjustment=5,route-view=10,stock-lookup=10 >"$W/out" 2>>"$W/load.log"; }
rule () { grep -q "$1 [1-9]" "$W/out" || { cat "$W/out"; fail "no violation of rule $1 reported"; }; }

db
load 2 || { cat "$W/out"; fail "a run without faults violated a rule"; }

# Repeats an acknowledged write and removes half of a transaction.
corrupt () {
  until_true 5 sh -c "psql -X -q -At 'host=127.0.0.1 port=$P user=u dbname=x' -c 'SELECT id, val FROM ledger' >'$W/rows'; grep -q '^s' '$W/rows' && grep -q '^b.*b|' '$W/rows'"
  row=$(grep '^s' "$W/rows" | head -1)
  sql $P "UPDATE ledger SET val = val || '${row#*|}' WHERE id = '${row%%|*}'"
  half=$(grep '^b.*b|' "$W/rows" | head -1)
  sql $P "DELETE FROM ledger WHERE id = '${half%%|*}'"
}
stop db; db
corrupt & PIDS="$PIDS $!"
load 3
[ $? -eq 8 ] || fail "the exit code does not report a rule violation"
rule doubled; rule mixed; rule lost

# A primary that restarts without its rows: acknowledged writes are missing.
stop db; db
# A subshell cannot wait for a child of its parent, so it polls until the old
# process has exited and its port is free.
exited () { ! [ -e "/proc/$1" ] || grep -q '^State:.Z' "/proc/$1/status"; }
old=$(cat "$W/db.pid")
{ sleep 1; stop db KILL; until_true 5 exited "$old"; "$B/bin/ppdbsim" -l 127.0.0.1:$P -n a --primary --members 1 --connections 60 >>"$W/db2.log" 2>&1 & echo $! >"$W/db2.pid"; wait; } & PIDS="$PIDS $!"
load 3
code=$?
kill "$(cat "$W/db2.pid")"
[ $code -eq 8 ] || fail "the lost rows were not reported"
rule lost; rule stale
echo ok
