#!/bin/sh
# One entry process is killed inside a transaction, two more under load: the
# transaction must be rolled back, and keyed requests whose answer was lost are
# resent through other instances and must run only once.
set -u
B=$1
. test/cluster.inc
deploy_small
{ echo "BEGIN; INSERT INTO t(id, val) VALUES ('half', '1'); SELECT 1;"; sleep 5; } |
  psql -X -q -At "host=127.0.0.1 port=$(port "$(field small-entry-1 address)") user=u dbname=ledger" >"$W/half" 2>&1 &
PIDS="$PIDS $!"
until_true 3 grep -q 1 "$W/half" || fail "the transaction did not begin"
stop small-entry-1 KILL
rolled_back () { client small-entry-2 ledger "INSERT INTO t(id, val) VALUES ('half', '2')" "SELECT val FROM t WHERE id = 'half'" | grep -q '^2$'; }
until_true 5 rolled_back || fail "the transaction of the killed entry process is still open"
start_instance small-entry-1
until_true 5 serves small-entry-1 ledger || fail "the entry process does not serve again"
load_begin 9
for n in 2 3; do
  sleep 2
  # Stopped first, so that requests are in flight when it is killed.
  kill -STOP "$(cat "$W/small-entry-$n.pid")"
  sleep 0.3
  stop small-entry-$n KILL
  sleep 0.5
  start_instance small-entry-$n
done
load_end
[ "$(report resent)" -gt 0 ] || fail "no request was resent"

# A planned stop must not interrupt a request.
load_begin 4 -S 2
sleep 1
stop small-entry-3
load_end
[ "$(report unknown)" -eq 0 ] || fail "a planned stop left an outcome unknown"
echo ok
