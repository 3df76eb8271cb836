#!/bin/sh
# The answer to a keyed write is lost; the client resends it with the same key
# through other instances, and again after a failover: it must run only once, and
# every answer must be the first one.
set -u
B=$1
. test/cluster.inc
deploy_small
client small-entry-1 ledger "INSERT INTO t(id, val) VALUES ('n', '0')" >/dev/null
# The connection closes before the answer arrives.
sale="/* pimentopost kind=sale key=K1 */ UPDATE t SET val = val + 1 WHERE id = 'n' RETURNING val"
timeout 0.02 psql -X -q -At "host=127.0.0.1 port=$(port "$(field small-entry-1 address)") user=u dbname=ledger" -c "$sale" >/dev/null 2>&1
for n in 2 3 1; do
  got=$(client small-entry-$n ledger "$sale")
  [ "$got" = 1 ] || fail "small-entry-$n answered '$got'"
done
p=$(primary_of ledger)
stop "ledger-$p" KILL
until_true 5 promoted 2 || fail "no promotion"
for n in 1 2 3; do until_true 5 serves small-entry-$n ledger || fail "small-entry-$n does not serve"; done
got=$(client small-entry-2 ledger "$sale" "SELECT val FROM t WHERE id = 'n'")
[ "$got" = "1
1" ] || fail "after the failover: '$got'"
echo ok
