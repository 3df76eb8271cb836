#!/bin/sh
# A short run of the fault soak with each seed of test/soak/seeds.  Guards
# against broken guarantees under faults from outside of the processes.
set -eu
out=$(mktemp)
trap 'rm -f "$out"' EXIT
# Three runs at a time: each takes about half a core.
if sed 's/ *#.*//' test/soak/seeds | grep . | xargs -P 3 -L 1 sh -c \
  "$1/test/soak/soak --seed \$1 --entries \$2 --seconds 36 --place \$((\$1 % 50 + 201)) $1" sh >"$out" 2>&1; then
  cat "$out"
  echo "$(wc -l <"$out") passed, 0 failed"
else
  cat "$out"
  exit 1
fi
