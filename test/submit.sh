#!/bin/sh
# Operators against control and entry instances: one of several concurrent
# submissions wins, a repeated command returns the first outcome, also through
# another leader, and a restarted instance has the latest version after hundreds
# of changes. Guards against two winners, a change that is applied twice, and a
# version that reverts.
set -u
B=$1
. test/cluster.inc
# The ports are fixed, and another worktree may run the same test.
exec 9>"${TMPDIR:-/tmp}/pimentopost-submit.lock"
flock -w 120 9 || fail "another run holds the ports"
Q=$W/tan.yaml
sed 's/127\.0\.0\.1:22\([01]\)/127.0.0.1:22\1/; s/:220/:225/; s/:221/:226/' examples/tan.yaml >"$Q"
T=$B/bin/pimentopost
S=127.0.0.1:22551,127.0.0.1:22552,127.0.0.1:22553
"$T" generate --settings "$W" --data "$W" "$Q" >/dev/null || fail generate
for n in $(names instances); do start_instance "$n"; done

# submit BASE OPERATOR [OPTION...]: prints the tool's output.
submit () { base=$1 op=$2; shift 2; "$T" submit --server $S --base "$base" --operator "$op" "$@" "$Q" 2>&1; }
# local_view N PATTERN: control instance N's own view.
local_view () { "$T" status --local --server "127.0.0.1:2255$1" --timeout 300ms | grep -q "$2"; }
leader () { "$T" status --server $S --timeout 1s | sed -n 's/^instance=tan-control-\(.\) role=leader.*/\1/p'; }
has_leader () { [ -n "$(leader)" ]; }

until_true 10 has_leader || fail "no leader"
submit 0 first --wait --timeout 5s | grep -q 'version 1$' || fail "the first submission is not accepted"

for i in 1 2 3 4 5 6 7 8; do
  { submit 1 "op$i" >"$W/race$i"; echo $? >"$W/code$i"; } &
  PIDS="$PIDS $!"; eval "race$i=$!"
done
wait "$race1" "$race2" "$race3" "$race4" "$race5" "$race6" "$race7" "$race8"
[ "$(cat "$W"/code? | grep -c '^0$')" = 1 ] || fail "not exactly one submission accepted: $(cat "$W"/race?)"
[ "$(cat "$W"/code? | grep -c '^4$')" = 7 ] || fail "not 7 conflicts: $(cat "$W"/race?)"
win=$(grep -l '^0$' "$W"/code? | sed 's/.*code//')
[ "$(cat "$W"/race? | grep -c "op$win won with version 2")" = 7 ] || fail "conflicts name another winner: $(cat "$W"/race?)"

old=$(leader)
stop "tan-control-$old" KILL
submit 1 "op$win" --timeout 5s | grep -q 'version 2 (outcome of the first' || fail "the new leader does not return the first outcome"
submit 2 next --wait --timeout 5s | grep -q 'version 3' || fail "the new leader does not accept version 3"
start_instance "tan-control-$old"
until_true 5 local_view "$old" 'version=3 ' || fail "the restarted former leader does not have version 3"

v=3
while [ $v -lt 503 ]; do
  sed -i "s/session_requests: .*/session_requests: $v/" "$Q"
  submit $v many >/dev/null || fail "submission on version $v is not accepted"
  v=$((v + 1))
done
for n in 1 2 3; do stop tan-control-$n KILL; done
for n in 1 2 3; do start_instance tan-control-$n; done
for n in 1 2 3; do until_true 5 local_view $n "version=$v " || fail "instance $n does not have version $v"; done
submit $((v - 1)) many | grep -q "version $v (outcome of the first" || fail "the first outcome is not returned after a restart"
submit $v last --wait --timeout 5s | grep -q "version $((v + 1))" || fail "no submission is accepted after a restart"
"$T" status --server $S | grep -c "^entry=.*state=up config_index=" | grep -q '^9$' || fail "not 9 entry instances are up"
echo ok
