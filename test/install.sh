#!/bin/sh
# Guards against an installed library that programs cannot be compiled with:
# installs into a temporary folder, then builds and runs a program that uses only
# the installed files.
set -u
cd "$(dirname "$0")/.." || exit 1
B=${1:-build}
W=$(mktemp -d) || exit 1
trap 'rm -rf "$W"' EXIT
make --no-print-directory B="$B" DESTDIR="$W" PREFIX=/usr install >"$W/log" 2>&1 || { cat "$W/log"; exit 1; }
cat >"$W/use.c" <<'C'
#include <route.h>
#include <stdio.h>
int
main (void)
{
  token_t t;
  if (!token_parse (STR ("3:17"), &t, NULL))
    return 1;
  printf ("%d\n", (int)t.pos);
  return EV_START == 1001 ? 0 : 1;
}
C
# shellcheck disable=SC2046
${CC:-gcc} -I"$W/usr/include/pimentopost" $(pkg-config --cflags apr-1) -o "$W/use" "$W/use.c" \
  "$W/usr/lib/libpimentopost.a" $(pkg-config --libs apr-1 libxxhash) -pthread || exit 1
[ "$("$W/use")" = 17 ] || { echo "FAIL: the program printed something else than 17"; exit 1; }
for f in usr/bin/pimentopostd usr/bin/pimentopost usr/share/man/man1/pimentopost.1; do
  [ -s "$W/$f" ] || { echo "FAIL: $f is missing"; exit 1; }
done
echo "install: ok"
