#!/bin/sh
# Control instances of the platform as separate processes: first start from
# seeds, operator API, restarts, lost and full disks, lost quorum.  Guards
# against an acknowledged configuration that is lost or reverts to an older one.
set -eu
bin=$1/bin
dir=$(mktemp -d)
pids=
cleanup () {
  for p in $pids; do kill -9 "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
fail () { echo "failed: $*"; tail -n 5 "$dir"/*.log; exit 1; }
settings () { # number, bootstrap
  cat >"$dir/$1.json" <<J
{"node-name":"c$1","zone":"z$1","ip":"127.0.7.$1","listen":{"control":"127.0.7.$1:28782"},
"internal-ports":[28440,28455],"seeds":["127.0.7.1:28782","127.0.7.2:28782","127.0.7.3:28782"],
"bootstrap":$2,"data-dir":"$dir/data$1","bounds":{"grace-s":6},"cloud-api":{"addr":"127.0.7.9:9"}}
J
}
# A limit of the file size simulates a full disk below.  Another process writes
# the log, so that the limit does not apply to it.
trap '' XFSZ
start () { # number [limit of the file size]
  [ -p "$dir/$1.fifo" ] || mkfifo "$dir/$1.fifo"
  cat <"$dir/$1.fifo" >>"$dir/$1.log" &
  (ulimit -S -f "${2:-unlimited}"
   PIMENTOPOST_CONFIG=$dir/$1.json exec "$bin/pimentopost-control") >"$dir/$1.fifo" 2>&1 &
  eval "pid$1=$!"
  pids="$pids $!"
}
stop () { eval "kill -9 \$pid$1; wait \$pid$1 2>/dev/null || true"; }
put () { # instance, body -> status
  curl -s -L --location-trusted -o "$dir/out" -w '%{http_code}' -m 5 -X PUT --data-binary @- \
    "http://127.0.7.$1:28782/pimentopost/config" <<J || true
$2
J
}
get () { curl -s -L -m 5 -w '\n%{http_code}' "http://127.0.7.$1:28782/pimentopost/config" || true; }
body () {
  echo "{\"version\":$1,\"services\":[{\"name\":\"s\",\"max-conns\":9}],\"routes\":[{\"host\":\"h$1\",\"service\":\"s\",\"timeout-ms\":$2}]}"
}
until_ok () { # what, command...
  what=$1; shift
  for _ in $(seq 100); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  fail "$what"
}
put_returns () { [ "$(put "$1" "$2")" = "$3" ]; }
serves () { get "$1" | grep -q "\"version\":$2,"; }

for i in 1 2 3; do settings $i true; start $i; done
until_ok "no leader after the first start" put_returns 1 "$(body 5 100)" 200
put_returns 2 "$(body 5 100)" 200 || fail "a repeated submission of the version in force is refused"
put_returns 3 "$(body 4 100)" 200 || fail "the submission of an older version does not get 200"
put_returns 3 "$(body 9 0)" 400 || fail "an invalid configuration is accepted"
put_returns 2 '{"version":9,' 400 || fail "a truncated configuration is accepted"
put_returns 2 "$(body 5 777)" 200 || fail "other content under the version in force does not get 200"
for i in 1 2 3; do
  serves $i 5 || fail "instance $i does not serve version 5"
  get $i | grep -q '"timeout-ms":100' || fail "other content replaced the version in force"
done
heartbeat='{"service":"s","addr":"127.0.7.8:1","zone":"z1","state":"ready","db-role":"replica","version":"v1","cold-left-ms":0,"slots":2,"seq":1}'
code=$(curl -s -o /dev/null -w '%{http_code}' -X PUT -d "$heartbeat" http://127.0.7.2:28782/pimentopost/instances/i-1)
[ "$code" = 200 ] || fail "a heartbeat got $code"
code=$(curl -s -o /dev/null -w '%{http_code}' -X PUT -d '{"seq":' http://127.0.7.2:28782/pimentopost/instances/i-1)
[ "$code" = 400 ] || fail "an invalid heartbeat got $code"
# An odd entry of another writer harms no instance, and the other entries hold.
nested=$(printf '[%.0s' $(seq 20000))
for change in 's/127.0.7.8:1/127.0.7.8:99999/' 's/"slots":2/"slots":99999999999999999999999/' \
  's/"slots":2/"slots":1e400/' 's/"seq":1/"seq":9223372036854775807/' "s/\"slots\":2/\"slots\":$nested/" \
  's/"zone":"z1"/"zone":7/' 's/"state":"ready"/"state":"odd"/' 's/"service":"s",//'; do
  echo "$heartbeat" | sed -e "$change" >"$dir/odd"
  for i in 1 2 3; do
    code=$(curl -s -o /dev/null -w '%{http_code}' -X PUT --data-binary @"$dir/odd" http://127.0.7.$i:28782/pimentopost/instances/odd)
    [ "$code" = 400 ] || fail "an odd heartbeat got $code: $(head -c 200 "$dir/odd")"
  done
done
kill -0 "$pid1" && kill -0 "$pid2" && kill -0 "$pid3" || fail "an instance ended after odd heartbeats"
code=$(curl -s -o /dev/null -w '%{http_code}' -X PUT -d "$heartbeat" http://127.0.7.2:28782/pimentopost/instances/i-1)
[ "$code" = 200 ] || fail "a heartbeat after odd ones got $code"
code=$(curl -s -o /dev/null -w '%{http_code}' -X DELETE http://127.0.7.3:28782/pimentopost/instances/i-1)
[ "$code" = 200 ] || fail "a deregistration got $code"
curl -s http://127.0.7.1:28782/metrics >/dev/null || fail "no metrics"

# All instances are killed at once.
for i in 1 2 3; do stop $i; done
for i in 1 2 3; do settings $i false; start $i; done
until_ok "version 5 is lost after a restart of all" serves 1 5

# A lost disk right after an acknowledgement, and without one more instance.
until_ok "version 7 is not accepted" put_returns 1 "$(body 7 100)" 200
stop 2
rm -rf "$dir/data2"
settings 2 false
start 2
until_ok "version 7 is lost after the loss of a disk" serves 1 7
until_ok "the instance with the new disk does not serve version 7" serves 2 7
until_ok "the instance with the new disk is not a voter" grep -q 'c1,c3,c2"\|c3,c1,c2"\|c2"' "$dir/1.log"

# An instance without a quorum accepts no configuration and answers no read.
stop 1
stop 2
sleep 1
code=$(put 3 "$(body 11 100)")
[ "$code" = 503 ] || fail "a submission without a quorum got $code"
get 3 | tail -1 | grep -q 503 || fail "a read without a quorum is answered"
start 1
until_ok "no leader after the quorum is back" put_returns 3 "$(body 12 100)" 200
serves 1 12 || fail "instance 1 does not serve version 12"

# Full disks: an instance that cannot store stays up and the others serve.  When
# none can store, submissions are refused; acknowledged versions can be read as
# soon as there is room.
start 2
until_ok "instance 2 does not serve after its restart" serves 2 12
limit_file_size () { eval "prlimit --pid \$pid$1 --fsize=$2:unlimited"; }
check_alive () {
  for n in 1 2 3; do eval "kill -0 \$pid$n" 2>/dev/null || fail "instance $n ended $1"; done
}
version=20
for i in 1 2 3; do
  limit_file_size $i 0
  for _ in 1 2 3; do
    version=$((version + 1))
    until_ok "no submission is accepted while the disk of $i is full" put_returns 1 "$(body $version 100)" 200
  done
  check_alive "with the disk of $i full"
  limit_file_size $i unlimited
done
grep -q DISK_REFUSES "$dir"/?.log || fail "no instance logged its full disk"
for i in 1 2 3; do limit_file_size $i 0; done
for _ in 1 2 3 4 5; do
  code=$(put 1 "$(body $((version + 1)) 100)")
  [ "$code" = 503 ] || fail "a submission with all disks full got $code"
done
check_alive "with all disks full"
for i in 1 2 3; do limit_file_size $i unlimited; done
until_ok "no submission is accepted after all disks were full" put_returns 2 "$(body $((version + 2)) 100)" 200
for i in 1 2 3; do
  until_ok "instance $i does not serve the version" serves $i $((version + 2))
done

# An instance that starts with a full disk waits for room.
stop 3
rm -rf "$dir/data3"
settings 3 false
start 3 0
sleep 1
check_alive "at its start on a full disk"
limit_file_size 3 unlimited
until_ok "instance 3 does not start when there is room" serves 3 $((version + 2))
echo "1 passed, 0 failed"
