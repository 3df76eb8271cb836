#!/bin/sh
# pimentopost lint against a real control instance: over generated
# configurations it reports an error exactly when control refuses them.  Guards
# against a check that passes what control refuses, one that refuses what
# control takes, and an API key in its output.
set -eu
bin=$1/bin
dir=$(mktemp -d)
pid=
cleanup () { [ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || true; rm -rf "$dir"; }
trap cleanup EXIT
fail () { echo "failed: $*"; tail -n 5 "$dir/log"; exit 1; }
at=127.0.23.1:28782
cat >"$dir/settings.json" <<J
{"node-name":"c1","zone":"z1","ip":"127.0.23.1","listen":{"control":"$at"},"internal-ports":[28440,28455],
"seeds":["$at"],"bootstrap":true,"data-dir":"$dir/data","bounds":{"grace-s":6},"cloud-api":{"addr":"127.0.23.9:9"}}
J
PIMENTOPOST_CONFIG=$dir/settings.json "$bin/pimentopost-control" >"$dir/log" 2>&1 &
pid=$!
put () { curl -s -o /dev/null -w '%{http_code}' -m 5 -X PUT --data-binary @"$1" "http://$at/pimentopost/config" || true; }

# One configuration, changed in the way number $2.
config () {
  sed "$(sed -n "$2p" <<'S'
s/X/X/
s/"timeout-ms":800/"timeout-ms":0/
s/"timeout-ms":800/"timeout-ms":"800"/
s/"service":"s2"/"service":"s9"/
s/"host":"h2"/"host":"h1"/
s/"host":"h2"/"host":"h 2"/
s/"host":"h2"/"host":""/
s/"route-kind":"primary"/"route-kind":"other"/
s/"name":"s2"/"name":7/
s/"services"/"servics"/
s/"routes":\[/"routes":7,"x":[/
s/"max-conns":9/"max-conns":99999999999999/
s/"max-conns":9/"max-conns":-3/
s/"version"/"verson"/
s/}]}$/}]/
s/"tx-idle-ms":3000/"tx-idle-ms":-1/
s/"priority":1/"priority":"x"/
s/"public":false/"public":7/
s/secret-two/secret-one/
s/"secret-two"/7/
s/"api-keys":\["secret-two"\]/"api-keys":"secret-two"/
s/"name":"t2"/"name":""/
s/"name":"t2"/"name":"t1"/
s/"rate-per-s":40/"rate-per-s":"40"/
s/"rate-per-s":40/"rate-per-s":-40/
s/"burst":40/"burst":1.5/
s/"tenants":\[/"tenants":{},"y":[/
s/"secret-two"/""/
S
)" <<J
{"version":$1,"routes":[{"host":"h1","route-kind":"primary","timeout-ms":800,"target-latency-ms":150,"priority":1,"service":"s1","public":false},{"host":"h2","route-kind":"bounded_staleness","max-staleness-ms":1500,"timeout-ms":900,"target-latency-ms":300,"service":"s2"}],"services":[{"name":"s1","max-conns":9},{"name":"s2"}],"limits":{"tx-idle-ms":3000},"tenants":[{"name":"t1","api-keys":["secret-one"],"rate-per-s":30,"burst":30},{"name":"t2","api-keys":["secret-two"],"rate-per-s":40,"burst":40}]}
J
}

config 1 1 >"$dir/1.json"
for _ in $(seq 100); do
  [ "$(put "$dir/1.json")" = 200 ] && break
  sleep 0.1
done
[ "$(put "$dir/1.json")" = 200 ] || fail "control does not accept the first configuration"
refused=0
for i in $(seq 28); do
  config $((i + 1)) "$i" >"$dir/c.json"
  "$bin/pimentopost" lint "$dir/c.json" >"$dir/out" 2>&1 && rc=0 || rc=$?
  grep -q secret "$dir/out" && fail "change $i: a key in the output: $(cat "$dir/out")"
  code=$(put "$dir/c.json")
  case $rc$code in
    0200 | 1200) ;;
    2400) refused=$((refused + 1)) ;;
    *) fail "change $i: exit status $rc, control answers $code: $(cat "$dir/out")" ;;
  esac
done
[ "$refused" -ge 8 ] || fail "only $refused generated configurations are refused"

# The difference from the configuration in force, over HTTP and from a file.
config 90 1 | sed 's/"timeout-ms":800/"timeout-ms":700/; s/"secret-two"/"secret-new","secret-three"/' >"$dir/next.json"
config 80 1 >"$dir/now.json"
[ "$(put "$dir/now.json")" = 200 ] || fail "control does not accept version 80"
for from in "--server $at" "--in-force $dir/now.json"; do
  # shellcheck disable=SC2086
  "$bin/pimentopost" lint $from "$dir/next.json" >"$dir/out" 2>&1 && rc=0 || rc=$?
  [ "$rc" -le 1 ] || fail "exit status $rc: $(cat "$dir/out")"
  grep -q 'change: routes\[h1\].timeout: 700, was 800' "$dir/out" || fail "no change of the time-out: $(cat "$dir/out")"
  grep -q 'change: tenants\[t2\].keys: 2 added, 1 withdrawn' "$dir/out" || fail "no change of keys: $(cat "$dir/out")"
  grep -q secret "$dir/out" && fail "a key in the output: $(cat "$dir/out")"
done

# Control instances that send the caller on without end: a typed error.
perl -MIO::Socket::INET -e '
  my $l = IO::Socket::INET->new (LocalAddr => "127.0.23.2", LocalPort => 28783, Listen => 8, ReuseAddr => 1) or die;
  for (1 .. 3) {
    my $c = $l->accept; sysread ($c, my $request, 4096);
    print $c "HTTP/1.1 307 x\r\nLocation: http://127.0.23.2:28783/y\r\nContent-Length: 0\r\n\r\n"; close $c;
  }' &
server=$!
sleep 0.5
"$bin/pimentopost" lint --server 127.0.23.2:28783 --timeout 3s "$dir/next.json" >"$dir/out" 2>&1 && rc=0 || rc=$?
wait "$server" || fail "not three calls"
[ "$rc" = 5 ] || fail "exit status $rc after redirects without end: $(cat "$dir/out")"
grep -q 'unreachable: status 307' "$dir/out" || fail "no typed error after redirects: $(cat "$dir/out")"
echo ok
