#!/bin/sh
# The control leader is away for a while without knowing it (stopped, then
# continued) while a change is accepted elsewhere: writes go on under the new
# leader, and the change never reverts.
set -u
B=$1
. test/cluster.inc
small
load_begin 12
leader=$(status | sed -n 's/^instance=\([^ ]*\) .*/\1/p')
kill -STOP "$(cat "$W/$leader.pid")"
others=
for m in 1 2 3; do [ "small-control-$m" = "$leader" ] || others=$others${others:+,}$(field small-control-$m address); done
sed 's/worth: 10/worth: 77/' "$Q" >"$W/new.yaml"
change () { "$B/bin/pimentopost" submit --server "$others" --base 1 --id c --operator lim --timeout 2s "$W/new.yaml"; }
until_true 8 change || fail "no change was accepted without the old leader"
for m in 1 2 3; do until_true 5 serves small-entry-$m ledger || fail "small-entry-$m does not serve writes"; done
kill -CONT "$(cat "$W/$leader.pid")"
latest () { "$B/bin/pimentopost" status --local --server "$(field "$leader" address)" | grep -q '^instance=.*version=2 '; }
until_true 5 latest || fail "the old leader did not come to the latest configuration"
seen=0
for round in $(seq 20); do
  for m in 1 2 3; do
    if client small-entry-$m pimentopost "SHOW CONFIG" | grep -q 'worth: 77'; then seen=$((seen + 1))
    elif [ "$round" -gt 5 ]; then client small-entry-$m pimentopost "SHOW CONFIG"; fail "small-entry-$m has an old configuration"; fi
  done
  sleep 0.1
done
load_end
echo ok
