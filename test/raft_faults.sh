#!/bin/sh
# Guards against an oracle that detects no violations: each deliberate fault of
# lib/raft has to be caught within the given number of operations, and the same
# operations without a fault have to pass.
set -eu
dir=$1
"$dir"/fault/raft_VOTE_TWICE 20000
"$dir"/fault/raft_NO_SYNC 2000
"$dir"/fault/raft_COMMIT_OLD_TERM 1000 test/corpus/raft/old-term-1
if "$dir"/fault/raft_NONE 300000; then
  echo "the oracle reported a violation without a fault" >&2
  exit 1
fi
