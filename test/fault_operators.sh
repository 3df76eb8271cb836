#!/bin/sh
# Two operators race with the same base version, one resends after a lost
# answer, and control restarts after hundreds of changes: one change wins, the
# resend gets the first outcome, and the latest configuration comes back.
set -u
B=$1
. test/cluster.inc
small
submit () { "$B/bin/pimentopost" submit --server "$CONTROL" --timeout 5s "$@"; }
change () { sed "s/worth: [0-9]*/worth: $1/" "$Q" >"$W/q-$1.yaml"; }
change 11; change 12
submit --base 1 --operator lim --id one "$W/q-11.yaml" >"$W/lim" 2>&1 & a=$!
submit --base 1 --operator devi --id two "$W/q-12.yaml" >"$W/devi" 2>&1 & b=$!
wait $a; ca=$?; wait $b; cb=$?
cat "$W/lim" "$W/devi"
[ "$ca $cb" = "0 4" ] || [ "$ca $cb" = "4 0" ] || fail "exit codes $ca and $cb: not exactly one winner"
submit --base 1 --operator lim --id one "$W/q-11.yaml" >/dev/null 2>&1
[ $? -eq $ca ] || fail "the resend got another outcome"
version=2
for i in $(seq 200); do
  change $((20 + i))
  submit --base $version --operator lim "$W/q-$((20 + i)).yaml" >"$W/out" 2>&1 || { cat "$W/out"; fail "change $i"; }
  version=$((version + 1))
done
in_force () { [ "$("$B/bin/pimentopost" config --server "$CONTROL" | grep -c "worth: 220")" -gt 0 ]; }
in_force || fail "the last change is not in force"
for n in 1 2 3; do stop small-control-$n KILL; done
for n in 1 2 3; do start_instance small-control-$n; done
until_true 10 in_force || fail "the last change did not come back"
submit --base 1 --operator lim --id one "$W/q-11.yaml" >/dev/null 2>&1
[ $? -eq $ca ] || fail "the resend after the restart got another outcome"
for n in 1 2 3; do
  ok () { client small-entry-$n pimentopost "SHOW CONFIG" | grep -q '^202|'; }
  until_true 10 ok || { client small-entry-$n pimentopost "SHOW CONFIG"; fail "small-entry-$n is not at the latest version"; }
done
echo ok
