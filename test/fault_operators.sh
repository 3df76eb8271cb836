#!/bin/sh
# Two operators submit on the same base version, one repeats its submission, and
# all control instances are killed and restarted after 200 changes: exactly one
# of the two must be accepted, the repetition must get the first outcome, and the
# latest configuration must survive the restart.
set -u
B=$1
. test/cluster.inc
deploy_small
submit () { "$B/bin/pimentopost" submit --server "$CONTROL" --timeout 5s "$@"; }
change () { sed "s/worth: [0-9]*/worth: $1/" "$Q" >"$W/q-$1.yaml"; }
change 11; change 12
submit --base 1 --operator lim --id one "$W/q-11.yaml" >"$W/lim" 2>&1 & a=$!
submit --base 1 --operator devi --id two "$W/q-12.yaml" >"$W/devi" 2>&1 & b=$!
wait $a; ca=$?; wait $b; cb=$?
cat "$W/lim" "$W/devi"
[ "$ca $cb" = "0 4" ] || [ "$ca $cb" = "4 0" ] || fail "exit codes $ca and $cb: exactly one of the two must be accepted"
submit --base 1 --operator lim --id one "$W/q-11.yaml" >/dev/null 2>&1
[ $? -eq $ca ] || fail "the repeated submission got another outcome"
version=2
for i in $(seq 200); do
  change $((20 + i))
  submit --base $version --operator lim "$W/q-$((20 + i)).yaml" >"$W/out" 2>&1 || { cat "$W/out"; fail "change $i was not accepted"; }
  version=$((version + 1))
done
in_force () { [ "$("$B/bin/pimentopost" config --server "$CONTROL" | grep -c "worth: 220")" -gt 0 ]; }
in_force || fail "the last change is not in force"
for n in 1 2 3; do stop small-control-$n KILL; done
for n in 1 2 3; do start_instance small-control-$n; done
until_true 10 in_force || fail "the last change was lost in the restart"
submit --base 1 --operator lim --id one "$W/q-11.yaml" >/dev/null 2>&1
[ $? -eq $ca ] || fail "the submission repeated after the restart got another outcome"
for n in 1 2 3; do
  ok () { client small-entry-$n pimentopost "SHOW CONFIG" | grep -q '^202|'; }
  until_true 10 ok || { client small-entry-$n pimentopost "SHOW CONFIG"; fail "small-entry-$n is not at the latest version"; }
done
echo ok
