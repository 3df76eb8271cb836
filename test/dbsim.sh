#!/bin/sh
# Checks the behaviour of the stand-in database that the fault tests rely on: if
# an injected fault had no effect, those tests would pass without testing it.
set -u
B=$1
. test/cluster.inc
A=25911 Bp=25912 C=25913

db () { # NAME PORT OPTIONS...
  n=$1 p=$2; shift 2
  spawn "$n" "$B/bin/ppdbsim" -l 127.0.0.1:"$p" -n "$n" --data "$W/$n.d" "$@"
}
db a $A --primary --connections 6
db b $Bp --follow 127.0.0.1:$A
db c $C --follow 127.0.0.1:$A
for p in $A $Bp $C; do until_true 5 answers $p 1 "SELECT 1" || fail "port $p does not answer"; done

# Commit, confirmation, replication.
expect $A "1|1|t|1:0" "INSERT INTO t(id, val) VALUES ('a', '1')" "SELECT * FROM pimentopost_confirm(2000)"
expect $Bp "1|1|t|1:0" "SELECT * FROM pimentopost_wait(1, 1, 2000)"
expect $Bp "a|1" "SELECT id, val FROM t"
expect $Bp "read-only" "UPDATE t SET val = '2' WHERE id = 'a'"

# Transactions: writes are invisible before COMMIT; a duplicate key aborts the
# block.
expect $A "current transaction is aborted" "BEGIN" "INSERT INTO t(id, val) VALUES ('b', '1')" \
  "INSERT INTO t(id, val) VALUES ('a', '1')" "INSERT INTO t(id, val) VALUES ('c', '1')" "COMMIT"
expect $A "1" "SELECT count(*) FROM t"
expect $A "3" "UPDATE t SET val = val + 1 WHERE id = 'a'" "UPDATE t SET val = val + 1 WHERE id = 'a'" \
  "SELECT val FROM t WHERE id = 'a'"
expect $A "1:0" "SELECT * FROM pimentopost_confirm(2000)"

# A second writer of a row waits for the transaction of the first.
{ echo "BEGIN; INSERT INTO t(id, val) VALUES ('lock', '1');"; sleep 0.4; echo "COMMIT;"; } |
  psql -X -q -At "host=127.0.0.1 port=$A user=u dbname=x" &
PIDS="$PIDS $!"
sleep 0.2
expect $A "duplicate key" "INSERT INTO t(id, val) VALUES ('lock', '2')"

# Three connections are reserved for control.  Each client is connected before
# the next one starts: a late one would itself be refused and leave a connection
# free.
for i in 1 2 3; do
  spawn hold$i psql -X -q -At "host=127.0.0.1 port=$A user=u dbname=x" -c "SELECT 'held'" -c "SELECT pg_sleep(3)"
  until_true 2 grep -q held "$W/hold$i.log" || fail "connection $i was not opened"
done
full () { psql -X -q "host=127.0.0.1 port=$A user=u dbname=x" -c "SELECT 1" 2>&1 | grep -q "too many clients"; }
until_true 2 full || fail "no connection was refused"
expect $A "primary" "SELECT * FROM pimentopost_status()"

# Fence, promotion, follow: the unconfirmed tail of the old primary is
# discarded.
fault $A cut >/dev/null
until_true 5 sh -c "[ \$(psql -X -q -At 'host=127.0.0.1 port=$Bp user=pimentopost_control dbname=x' -c 'SELECT * FROM pimentopost_status()' | cut -d'|' -f6) -gt 400 ]" ||
  fail "the replica still receives from the partitioned primary"
kill "$(cat "$W/hold1.pid")"
until_true 5 sh -c "psql -X -q 'host=127.0.0.1 port=$A user=u dbname=x' -c \"INSERT INTO t(id, val) VALUES ('tail', '1')\"" || fail "the partitioned primary serves no client"
got=$(psql -X -q -At "host=127.0.0.1 port=$A user=u dbname=x" -c "INSERT INTO t(id, val) VALUES ('tail2', '1')" -c "SELECT * FROM pimentopost_confirm(300)")
case $got in *"|f|"*) ;; *) fail "a partitioned primary confirmed a position: $got" ;; esac
expect $Bp "no fence" "SELECT * FROM pimentopost_promote(2, 'o')"
expect $Bp "1|replica" "SELECT * FROM pimentopost_fence(2, 'o')"
expect $Bp "fenced by" "SELECT * FROM pimentopost_fence(2, 'other')"
expect $C "1|replica" "SELECT * FROM pimentopost_fence(2, 'o')"
expect $Bp "2|primary" "SELECT * FROM pimentopost_promote(2, 'o')"
expect $C "2" "SELECT * FROM pimentopost_follow('127.0.0.1:$Bp', 2)"
expect $Bp "|t|" "INSERT INTO t(id, val) VALUES ('new', '1')" "SELECT * FROM pimentopost_confirm(2000)"
fault $A heal >/dev/null
expect $A "primary" "SELECT * FROM pimentopost_fence(2, 'o')"
expect $A "read-only" "INSERT INTO t(id, val) VALUES ('late', '1')"
expect $A "replica" "SELECT * FROM pimentopost_follow('127.0.0.1:$Bp', 2)"
expect $A "|t|" "SELECT * FROM pimentopost_wait(2, 5, 3000)"
[ "$(sql $A "SELECT id, val FROM t" | sort)" = "$(sql $Bp "SELECT id, val FROM t" | sort)" ] || fail "a and b differ"
expect $A "0" "SELECT count(*) FROM t2"

# A killed database restarts with its log, term and fence.
before=$(sql $Bp "SELECT id, val FROM t" | sort)
stop b KILL
db b $Bp
until_true 5 answers $Bp 1 "SELECT 1" || fail "b does not answer after its restart"
[ "$(sql $Bp "SELECT id, val FROM t" | sort)" = "$before" ] || fail "b lost rows in its restart"
expect $Bp "2|primary" "SELECT * FROM pimentopost_status()"
expect $Bp "fenced by" "SELECT * FROM pimentopost_fence(1, 'o')"

# Faults: a silent connection gets no answer, a frozen database answers no
# client.
{ echo "SELECT 1;"; sleep 0.5; echo "SELECT 2;"; } |
  timeout 2 psql -X -q -At "host=127.0.0.1 port=$Bp user=u dbname=x" >"$W/silent" 2>&1 &
pid=$!; PIDS="$PIDS $pid"
until_true 2 grep -q 1 "$W/silent" || fail "no answer"
fault $Bp silent >/dev/null
expect $Bp "1" "SELECT 1"
wait $pid && fail "a silent connection answered"
grep -q 2 "$W/silent" && fail "a silent connection answered"
fault $C freeze >/dev/null
timeout 1 psql -X -q -At "host=127.0.0.1 port=$C user=u dbname=x" -c "SELECT 1" >/dev/null 2>&1 && fail "a frozen database answered"
fault $C heal >/dev/null
expect $C "1" "SELECT 1"
expect $C "100000" "SELECT generate_series(1, 100000)"
echo ok
