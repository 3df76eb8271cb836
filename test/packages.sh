#!/bin/sh
# Guards against a build that uses packages not listed in deploy/system.toml:
# it fails on a user's machine, where only the listed ones are installed.  Traces
# the build and compares every file that it uses with the list.  TREE=DIR checks
# another checkout, OUT=DIR keeps the lists.
set -u
cd "$(dirname "$0")/.." || exit 1
TREE=${TREE:-.}
W=$(mktemp -d) || exit 1
trap 'rm -rf "$W"' EXIT
OUT=${OUT:-$W/out}
result=0
fail () { echo "FAIL: $*"; result=1; }

listed=$(tools/packages "$TREE/deploy/system.toml")
if ! test/packages/trace "$TREE" "$OUT"; then
  tail -5 "$OUT/log"
  fail "the build failed"
fi
# shellcheck disable=SC2086
test/packages/compare "$OUT" $listed || fail "the build and the list of packages differ"
[ "$result" = 0 ] || exit 1
echo "$(wc -l <"$OUT/used") files of $(awk '{ print $1 }' "$OUT/owners" | sort -u | wc -l) packages, all listed"

# Every listed package must be needed: the check fails without it, or another
# listed package depends on it and the build uses its files.
for package in $listed; do
  rest=$(printf '%s\n' "$listed" | grep -vx "$package")
  # shellcheck disable=SC2086
  test/packages/compare "$OUT" $rest >/dev/null || continue
  test/packages/closure $rest | grep -qx "$package" || { fail "$package is listed and not needed"; continue; }
  grep -q "^$package " "$OUT/owners" || fail "$package is listed and not used"
done

# tree NAME RECIPE...: makes a checkout whose build is the recipe.
tree () {
  mkdir -p "$W/$1/deploy"
  printf 'build = "make"\npackages = ["gcc", "make", "pkg-config", "libc6-dev"]\n' >"$W/$1/deploy/system.toml"
  printf '#include <stddef.h>\nint main (void) { return 0; }\n' >"$W/$1/main.c"
  n=$1; shift
  printf 'all:\n' >"$W/$n/Makefile"
  printf '\t%s\n' "$@" >>"$W/$n/Makefile"
}

# expect NAME VERDICT TEXT: checks the verdict on that checkout, and that TEXT is
# in the output.
expect () {
  got=pass
  test/packages/trace "$W/$1" "$W/$1.out" || got=fail
  # shellcheck disable=SC2046
  test/packages/compare "$W/$1.out" $(tools/packages "$W/$1/deploy/system.toml") >"$W/$1.said" || got=fail
  [ "$got" = "$2" ] || fail "$1: $got, expected $2"
  [ -z "$3" ] || grep -q "$3" "$W/$1.said" || { fail "$1: the output does not name $3"; cat "$W/$1.said"; }
}

tree plain 'mkdir -p target && gcc -o target/main main.c'
expect plain pass ''

# The fault of an incident: the build asks pkg-config for the library of the
# tests, whose file is not found where it is not installed.
tree pkgconfig 'pkg-config --cflags check; true'
expect pkgconfig fail 'check'

tree header 'gcc -include check.h -c -o main.o main.c'
expect header fail 'check'

# A header used where it is installed and ignored elsewhere.
tree optional 'printf "\#if __has_include(<no_such_header.h>)\n\#endif\n" | gcc -E - >out'
expect optional fail 'no_such_header.h'

tree tool '-command -v no_such_compiler'
expect tool fail 'no_such_compiler'

tree library 'gcc -o main main.c -lpq'
expect library fail 'libpq'

# The build writes only under target, and downloads nothing.
tree stray 'mkdir -p target && gcc -c -o target/main.o main.c && gcc -c -o main.o main.c'
expect stray fail 'outside of target: main.o'

tree download 'perl -MSocket -e "socket (S, PF_INET, SOCK_DGRAM, 0); connect (S, sockaddr_in (53, inet_aton (q(127.0.0.1))))"'
expect download fail 'connects to "127.0.0.1"'

# Which package supplies awk differs from machine to machine.
tree alternative 'awk "BEGIN { exit 0 }" /dev/null'
expect alternative fail '/usr/bin/awk'

exit $result
