#!/bin/sh
# Two entry instances, three control instances and one group of simulated databases
# as separate processes. Guards against answers to clients that break the rules R1,
# R2, R3, R6 and R8 during faults, a failover and a shutdown.
set -u
B=$1
. test/cluster.inc
cat >"$W/small.yaml" <<'END'
team: small
region: r
availability_zones: [z1, z2, z3]
groups:
  - name: ledger
    databases: 3
    slots: 3
    connections: 20
    connect_time: 1ms
instances:
  - name: e-entry-1
    role: entry
    availability_zone: z1
    address: 127.0.0.1:22001
    health: 127.0.0.1:22101
  - name: e-entry-2
    role: entry
    availability_zone: z2
    address: 127.0.0.1:22002
    health: 127.0.0.1:22102
  - name: e-control-1
    role: control
    availability_zone: z1
    address: 127.0.0.1:22051
    health: 127.0.0.1:22151
  - name: e-control-2
    role: control
    availability_zone: z2
    address: 127.0.0.1:22052
    health: 127.0.0.1:22152
  - name: e-control-3
    role: control
    availability_zone: z3
    address: 127.0.0.1:22053
    health: 127.0.0.1:22153
request_kinds:
  - name: sale
    worth: 10
    deadline: 3s
    repeatable: false
    key: required
    effect: write
END
mkdir "$W/q" && mv "$W/small.yaml" "$W/q"
deploy "$W/q/small.yaml" "${PORTS:-23}" "${PORTS:-23}600"
E1=$(port "$(field e-entry-1 address)")

# expect_answer TEXT STATEMENT...: fails unless the answers of one session through the
# first entry instance contain TEXT.
expect_answer () {
  text=$1; shift
  got=$(client e-entry-1 ledger "$@")
  case $got in *"$text"*) ;; *) fail "$*: expected '$text', got '$got'" ;; esac
}
token () { client e-entry-1 ledger "UPDATE n SET val = '1' WHERE id = '$1'" "SHOW pimentopost.token" | tail -1; }
metric () { curl -s "http://$(field e-entry-1 health)/metrics" | awk -v n="$1" '$1 == n { print $2 }'; }

# R1, also on another entry instance, with a token and without.
expect_answer "a|1" "INSERT INTO t(id, val) VALUES ('a', '1')" "SELECT id, val FROM t WHERE id = 'a'"
for i in 1 2 3 4 5 6 7 8 9 10; do
  t=$(client e-entry-1 ledger "UPDATE t SET val = '$i' WHERE id = 'a'" "SHOW pimentopost.token" | tail -1)
  [ "$(client e-entry-2 ledger "SET pimentopost.token = '$t'" "SELECT val FROM t WHERE id = 'a'")" = "$i" ] || fail "stale read with token $t"
  [ "$(client e-entry-2 ledger "SELECT val FROM t WHERE id = 'a'")" = "$i" ] || fail "stale read without a token"
done

# Transaction blocks, settings that follow the session, refusals that say "not run".
expect_answer "b|2" "BEGIN" "INSERT INTO t(id, val) VALUES ('b', '2')" "COMMIT" "SELECT id, val FROM t WHERE id = 'b'"
expect_answer "two" "SET search_path = 'one'" "BEGIN" "SET search_path = 'two'" "COMMIT" "SHOW search_path"
expect_answer "one" "SET search_path = 'one'" "BEGIN" "SET search_path = 'two'" "ROLLBACK" "SHOW search_path"
expect_answer "not run" "BEGIN" "SAVEPOINT a" "SET search_path = 'two'" "ROLLBACK"
[ -z "$(client e-entry-1 ledger "SHOW search_path")" ] || fail "a setting leaked into another session"
expect_answer "not run" "LISTEN x"
expect_answer "not run" "/* pimentopost kind=nokind */ SELECT 1"
expect_answer "not run" "/* pimentopost kind=sale */ INSERT INTO t(id, val) VALUES ('k', '1')"

# R6: a write with a key runs once; repeated, it returns its first answer.
K="/* pimentopost kind=sale key=K1 */ UPDATE t SET val = val + 1 WHERE id = 'b' RETURNING val"
expect_answer "3" "$K"
expect_answer "3" "$K"
expect_answer "3" "SELECT val FROM t WHERE id = 'b'"

# Extended protocol and prepared statements across pooled connections.
for mode in extended prepared; do
  for q in "SELECT val FROM t WHERE id = 'b'" "UPDATE t SET val = '5' WHERE id = 'c'"; do
    "$B/bench/bench_pq" 127.0.0.1 "$E1" ledger 8 200 $mode "$q" >"$W/pq.log" 2>&1 || { cat "$W/pq.log"; fail "$mode $q"; }
  done
done
[ "$(metric 'pimentopost_reads_total{database="replica"}')" -gt 3000 ] || fail "replicas served few reads"

# R3: a cancel ends only its own request, and its connection is not reused.
timeout 10 psql -X -q -At "host=127.0.0.1 port=$E1 user=u dbname=ledger" -c "SELECT pg_sleep(5)" >"$W/cancel.log" 2>&1 &
C=$!; PIDS="$PIDS $C"
request_runs () { client e-entry-1 pimentopost "SHOW SESSIONS" | grep -q "|database$"; }
until_true 3 request_runs || fail "the request does not run"
kill -INT $C; wait $C
grep -q "cancel" "$W/cancel.log" || fail "not cancelled: $(cat "$W/cancel.log")"
expect_answer "5" "SELECT 5"

# R2: the entry instance is suspended while a commit waits for its confirmation.
# The confirmation arrives, the primary is lost and another one is promoted; when the
# instance resumes, it must not acknowledge the commit of the old primary.
P=$(primary_of ledger)
T=$(status | sed -n 's/^group=ledger term=\([0-9]*\).*/\1/p')
for i in 1 2 3; do [ "$i" = "$P" ] || fault "$(cat "$W/ledger-$i.port")" lag 700 >/dev/null; done
client e-entry-1 ledger "/* pimentopost deadline=5000 */ INSERT INTO t(id, val) VALUES ('z', '1')" >"$W/frozen.log" 2>&1 &
C=$!
until_true 3 request_runs || fail "the write does not run"
kill -STOP "$(cat "$W/e-entry-1.pid")"
write_on_replica () { [ "$(sql "$(cat "$W/ledger-$((P % 3 + 1)).port")" "SELECT val FROM t WHERE id = 'z'")" = 1 ]; }
until_true 3 write_on_replica || fail "the write does not reach a replica"
sleep 0.2
fault "$(cat "$W/ledger-$P.port")" freeze 3000 >/dev/null
for i in 1 2 3; do [ "$i" = "$P" ] || fault "$(cat "$W/ledger-$i.port")" lag 0 >/dev/null; done
new_primary () { promoted $((T + 1)); }
until_true 6 new_primary || fail "no new primary while the entry instance is suspended"
kill -CONT "$(cat "$W/e-entry-1.pid")"
wait $C
grep -q "outcome unknown" "$W/frozen.log" || fail "a commit of the old primary is acknowledged: $(cat "$W/frozen.log")"
for i in 1 2 3; do [ "$i" = "$P" ] || fault "$(cat "$W/ledger-$i.port")" heal >/dev/null; done
old_primary_follows () { status | grep "^database=ledger-$P " | grep -q "role=replica"; }
until_true 10 old_primary_follows || fail "the old primary does not become a replica"
until_true 5 serves e-entry-1 ledger || fail "no service after the suspension"

# Failover: the primary freezes; a write during the failover gets a true answer, later
# ones reach the new primary, and nothing is lost.
P=$(primary_of ledger)
fault "$(cat "$W/ledger-$P.port")" freeze 3000 >/dev/null
both_serve () { serves e-entry-1 ledger && serves e-entry-2 ledger; }
until_true 6 both_serve || fail "no new primary is served"
expect_answer "3" "SELECT val FROM t WHERE id = 'b'"
expect_answer "3" "$K"

# R8: a graceful shutdown interrupts no request, and health fails first.  The write
# still waits for its confirmation when sessions are closed, after 1 s.
P=$(primary_of ledger)
for i in 1 2 3; do [ "$i" = "$P" ] || fault "$(cat "$W/ledger-$i.port")" lag 1800 >/dev/null; done
# psql prints a late shutdown message before an answer that it already has, so its
# exit status shows whether the request was interrupted.
timeout 10 psql -X -q -At "host=127.0.0.1 port=$E1 user=u dbname=ledger" \
  -c "/* pimentopost deadline=5000 */ INSERT INTO t(id, val) VALUES ('r8', '1') RETURNING id" >"$W/drain.log" 2>&1 &
C=$!
# A session between two requests gets the shutdown message.
{ echo "SELECT 6;"; sleep 2.5; echo "SELECT 7;"; } |
  timeout 10 psql -X -q -At "host=127.0.0.1 port=$E1 user=u dbname=ledger" >"$W/idle.log" 2>&1 &
I=$!; PIDS="$PIDS $C $I"
until_true 3 request_runs || fail "the request does not run"
kill -TERM "$(cat "$W/e-entry-1.pid")"
unhealthy () { curl -s -o "$W/health" -w '%{http_code}' "http://$(field e-entry-1 health)/health" | grep -q 503; }
until_true 1 unhealthy || fail "health does not fail during the shutdown"
wait $C || fail "the shutdown interrupted a request: $(cat "$W/drain.log")"
grep -q "^r8$" "$W/drain.log" || fail "a request got no answer: $(cat "$W/drain.log")"
wait $I
grep -q "shutting down" "$W/idle.log" || fail "no shutdown message: $(cat "$W/idle.log")"
entry_ended () { ! kill -0 "$(cat "$W/e-entry-1.pid")"; }
until_true 5 entry_ended || fail "the entry instance does not end"
grep -q "STOP pid" "$W/e-entry-1.log" || fail "the entry instance logged no STOP"
stop_all
echo "entry_process: ok"
