#!/bin/sh
# Mutation test: disables one check of the entry instance at a time, in a copy, and
# expects the named test to fail.  Guards against a rule that no test covers.
# For control and the replicated log, test_fuzz_control and raft_faults.sh do
# this.
set -u
cd "$(dirname "$0")/.." || exit 1
B=${1:-build}
W=$(mktemp -d) || exit 1
trap 'rm -rf "$W"' EXIT
mkdir -p "$W/build/test" "$W/build/cmd"
cp -a Makefile include lib cmd platform test tools examples bench "$W" || exit 1
cp -a "$B/lib" "$B/libpimentopost.a" "$W/build" || exit 1
cp -a "$B"/test/*.[od] "$W/build/test" || exit 1
cp -a "$B/cmd" "$B/platform" "$W/build" || exit 1
result=0

# mutant RULE FILE FROM TO TEST [CASE]: replaces FROM, which must occur once in
# FILE, by TO.  Of a slow test only CASE is run.
mutant () {
  n=$(grep -cF -- "$3" "$W/$2")
  [ "$n" = 1 ] || { echo "FAIL: $1: '$3' occurs $n times in $2, expected once"; result=1; return; }
  cp -p "$W/$2" "$W/saved"
  FROM=$3 TO=$4 awk '{ i = index ($0, ENVIRON["FROM"])
    if (i) $0 = substr ($0, 1, i - 1) ENVIRON["TO"] substr ($0, i + length (ENVIRON["FROM"])); print }' \
    "$W/saved" >"$W/$2"
  if ! make -C "$W" --no-print-directory WARN= "build/test/$5" >"$W/log" 2>&1; then
    echo "FAIL: $1: does not build"; tail -5 "$W/log"; result=1
  elif env ${6:+CK_RUN_CASE=$6} timeout 120 "$W/build/test/$5" >"$W/log" 2>&1; then
    echo "FAIL: $1: $5 passes with '$4' in $2"; result=1
  else
    echo "$1: detected by $5: $(grep -E '^[a-z_/]*test.*:[FE]:' "$W/log" | head -1 | cut -d: -f5-6)"
  fi
  cp -p "$W/saved" "$W/$2"; touch "$W/$2"
}

mutant R2 lib/entry/xchg.c 'x->confirmed && cb->lease (cb->arg) ? good' 'x->confirmed ? good' test_entry_xchg
mutant R2 lib/entry/xchg.c '= yes && x->token.term == x->plan.term;' '= yes;' test_entry_xchg
mutant R3 lib/entry/pool.c "s->owner != owner || unusable || ready != 'I'" "s->owner != owner || ready == 0" test_entry_pool
mutant R4 lib/entry/xchg.c 'if (x->op >= x->nops || x->ops[x->op].type != type)' 'if (x->op >= x->nops)' test_entry_xchg
mutant R5 lib/entry/xchg.c 'return x->failed && !x->complete ? XL_FAILED : XL_UNKNOWN;' 'return XL_NOT_RUN;' test_entry_xchg
mutant R6 lib/entry/xchg.c 'x->key_taken = true;' 'x->key_taken = false;' test_entry_xchg
mutant R1 lib/entry/xchg.c 'x->covered = yes;' 'x->covered = true;' test_entry_xchg
mutant R9 lib/route/view.c 'g->cfg_index <= v->cfg_index)' 'false)' test_route
mutant age lib/route/view.c 'if (g->samples[i].sent >= since)' 'if (true)' test_route
mutant STALE lib/proxy/samples.c 'if (m->at[at].sent < began - max_age)' 'if (false)' test_fleet
mutant DRAIN lib/fleet/roster.c 's->leaving = b->leaving || (s->leaving && !restarted);' 's->leaving = b->leaving;' test_fleet
mutant ONE lib/fleet/takeover.c 'now - t->fail_since >= limit && t->reported_ok_at < t->fail_since' 'now - t->fail_since >= limit' test_fleet
mutant NOAUTH lib/proxy/caller.c 'return *t != NULL;' 'return true;' test_tenant keys
mutant revoked lib/proxy/caller.c 'if (p->setup == NULL || s->identified == p->setup->version)' 'if (true)' test_tenant withdrawn
mutant anonymous lib/proxy/caller.c 'if (!p->setup->tenanted || anonymous)' 'if (!p->setup->tenanted)' test_tenant keys
mutant TENANT lib/proxy/link.c 'if (k->state != LINK_IDLE || k->tenant != s->tenant)' 'if (k->state != LINK_IDLE)' test_tenants_pool
mutant TENANT lib/proxy/caller.c 's->tenant = t;' '' test_tenant moved
mutant TENANT lib/proxy/caller.c 's->tx_lost |= s->tx == TX_OPEN && (s->forward || s->link);' '' test_tenant moved
mutant SECRET lib/proxy/forward.c 's->tenant ? s->tenant->name : (str_t){ 0 });' 's->key);' test_tenant forwarded
mutant restart lib/proxy/fleet.c '&& !has_leader))' '&& false))' test_tenant versions
mutant restart lib/cell/update.c '|| !c->decoded_setup->tenanted || raft_current (c->raft);' '|| true;' test_cell
mutant older lib/proxy/fleet.c '(p->setup && n->version <= p->setup->version)' 'false' test_tenant versions

# A violation of R8 is visible only in a whole process.
mutant_process () {
  FROM=$3 TO=$4 awk '{ i = index ($0, ENVIRON["FROM"])
    if (i) $0 = substr ($0, 1, i - 1) ENVIRON["TO"] substr ($0, i + length (ENVIRON["FROM"])); print }' \
    "$2" >"$W/$2"
  make -C "$W" --no-print-directory WARN= all build/bench/bench_pq >"$W/log" 2>&1 || { tail -5 "$W/log"; result=1; return; }
  if timeout 120 sh "$W/$5" "$W/build" >"$W/log" 2>&1; then echo "FAIL: $1: $5 passes with '$4' in $2"; result=1
  else echo "$1: detected by $5: $(grep FAIL: "$W/log" | head -1)"; fi
}
mutant_process R8 lib/entry/timer.c 'if (!idle && !force)' 'if (!idle && false)' test/entry_process.sh
exit $result
