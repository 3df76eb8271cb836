#!/bin/sh
# The control leader is stopped and later continued; meanwhile the new leader
# accepts a change.  Writes go on, and no instance falls back to the old
# configuration.
set -u
B=$1
. test/cluster.inc
deploy_small
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
up_to_date () { "$B/bin/pimentopost" status --local --server "$(field "$leader" address)" | grep -q '^instance=.*version=2 '; }
until_true 5 up_to_date || fail "the old leader did not get the latest configuration"
seen=0
for round in $(seq 20); do
  for m in 1 2 3; do
    if client small-entry-$m pimentopost "SHOW CONFIG" | grep -q 'worth: 77'; then seen=$((seen + 1))
    elif [ "$round" -gt 5 ]; then client small-entry-$m pimentopost "SHOW CONFIG"; fail "small-entry-$m shows the old configuration"; fi
  done
  sleep 0.1
done
load_end
echo ok
