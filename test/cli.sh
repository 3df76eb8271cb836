#!/bin/sh
# The operator tool without control instances: an invalid file gives an error with
# its type, file, line and exit code. Guards against errors that are not found,
# unreliable exit codes, and generated settings that check refuses.
set -u
bin=$1/bin/pimentopost
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect CODE PATTERN COMMAND...: exit code and a pattern in the output.
expect () {
  code=$1 pattern=$2; shift 2
  out=$("$@" 2>&1); got=$?
  if [ "$got" -ne "$code" ] || ! printf '%s\n' "$out" | grep -q -- "$pattern"; then
    echo "FAIL: $*: exit code $got, expected $code and '$pattern' in:"; echo "$out"
    failed=1
  fi
}

# fault SED-SCRIPT CODE TYPE: the example with an error is refused.
fault () {
  sed "$1" examples/tan.yaml > "$dir/q.yaml"
  expect "$2" "q.yaml:[1-9][0-9]*: $3" "$bin" check "$dir/q.yaml"
  expect "$2" "q.yaml:[1-9][0-9]*: $3" "$bin" submit --base 0 --operator o "$dir/q.yaml"
}

fault 's/^team:/taem:/' 3 unknown-key
fault 's/^region:.*/region: [/' 3 syntax
fault '/^region:/d' 3 missing-key
fault 's/^region:\(.*\)/region:\1\nregion:\1/' 3 duplicate-key
fault 's/connect_time: 10ms/connect_time: 10/' 3 wrong-unit
fault 's/slots: 3/slots: 0/' 3 out-of-range
fault 's/slots: 3/slots: three/' 3 wrong-type
fault 's/availability_zone: klang/availability_zone: subang/' 3 unknown-reference

for f in examples/*.yaml; do expect 0 ok "$bin" check "$f"; done
expect 1 'nothing.yaml: system-call-failed' "$bin" check "$dir/nothing.yaml"
expect 3 '"error": "out-of-range"' sh -c "sed 's/slots: 3/slots: 0/' examples/tan.yaml > $dir/j.yaml; $bin check --json $dir/j.yaml"
expect 2 'no such command' "$bin" frobnicate
expect 2 'argument is missing' "$bin" check
expect 2 'base: usage' "$bin" submit --operator o examples/tan.yaml
expect 2 'no control instance' env -u PIMENTOPOST_SERVER "$bin" status
expect 2 'IP-NUMBER:PORT' "$bin" status --server localhost
expect 5 unreachable "$bin" status --server 127.0.0.1:22999 --timeout 200ms
expect 5 unreachable "$bin" submit --base 0 --operator o --server 127.0.0.1:22999 --timeout 200ms examples/tan.yaml
expect 0 'outcome unknown' "$bin" explain 40003
expect 0 'pimentopost [0-9]' "$bin" --version
expect 0 'Exit codes' "$bin" --help
expect 0 '--base=VERSION' "$bin" submit --help

for q in tan bureau; do
  expect 0 'settings files' "$bin" generate --settings "$dir/$q" --data "$dir/data" "examples/$q.yaml"
  for f in "$dir/$q"/*.yaml; do expect 0 'settings ok' "$bin" check "$f"; done
  expect 0 '' "$bin" generate --output "$dir/$q.yaml" "examples/$q.yaml"
  expect 0 '' "$bin" generate --output "$dir/$q.again" "$dir/$q.yaml"
  cmp "$dir/$q.yaml" "$dir/$q.again" || failed=1
done
[ "$(ls "$dir/tan" | wc -l)" -eq 12 ] || { echo "FAIL: number of settings files of tan"; failed=1; }
exit $failed
