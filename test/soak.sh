#!/bin/sh
# A short run of the fault soak, with the seeds that ever failed first.
# Guards against broken promises under faults from outside the processes.
set -eu
seeds=$(sed 's/#.*//' test/soak/seeds)
out=$(mktemp)
trap 'rm -f "$out"' EXIT
# Three at a time: each takes about half a core.
# shellcheck disable=SC2086
if printf '%s\n' $seeds | xargs -P 3 -I{} sh -c \
  "$1/test/soak/soak --seed {} --seconds 36 --place \$(({} % 50 + 201)) $1" >"$out" 2>&1; then
  cat "$out"
  echo "$(wc -l <"$out") passed, 0 failed"
else
  cat "$out"
  exit 1
fi
