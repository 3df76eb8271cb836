#!/bin/sh
# Entry instances that are stopped while their readiness is queried.
# Guards against a crash at the end of a graceful shutdown: the HTTP thread used
# resources that the main thread had freed.
set -eu
bin=$1/bin
dir=$(mktemp -d)
pids=
curls=
cleanup () {
  for p in $pids $curls; do kill -9 "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
n=12
for i in $(seq $n); do
  cat >"$dir/$i.json" <<J
{"node-name":"e$i","zone":"z1","ip":"127.0.8.$i","listen":{"front":"127.0.8.$i:28784","ready":"127.0.8.$i:28785"},
"internal-ports":[28440,28455],"seeds":["127.0.8.200:28782"],"bounds":{"grace-s":6}}
J
  PIMENTOPOST_CONFIG=$dir/$i.json "$bin/pimentopost-entry" >"$dir/$i.log" 2>&1 &
  pids="$pids $!"
done
for i in $(seq $n); do
  until curl -s -o /dev/null "http://127.0.8.$i:28785/metrics"; do sleep 0.05; done
  (
    while curl -s -o /dev/null -Z --parallel-max 20 "http://127.0.8.$i:28785/pimentopost/readiness?[1-400]" 2>/dev/null; do :; done
  ) &
  curls="$curls $!"
done
# shellcheck disable=SC2086
kill -TERM $pids
failed=0
for p in $pids; do
  code=0
  wait "$p" || code=$?
  if [ "$code" != 0 ]; then
    echo "failed: an entry instance ended with exit code $code"
    failed=$((failed + 1))
  fi
done
[ "$failed" = 0 ] || exit 1
echo "1 passed, 0 failed"
