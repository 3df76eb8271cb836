#!/bin/sh
# Guards against names from outside that are shortened to a fixed field: two of
# them then become one (review/3).  str_copy refuses what does not fit.
set -eu
cd "$(dirname "$0")/.."
found=$(grep -nE 'snprintf \([^;]*STR_FMT|strncpy|strlcpy' -r lib/proxy lib/fleet lib/cell lib/rpc \
  lib/httpd platform --include='*.c' | grep -v 'buf_fmt\|lib/rpc/sock.c' || true)
[ -z "$found" ] || { echo "names cut to a fixed field:"; echo "$found"; exit 1; }
echo "no name is cut to a fixed field"
