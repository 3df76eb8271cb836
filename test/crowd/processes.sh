# shellcheck shell=sh
# Included by test/crowd_NAME.sh: runs the crowd NAME against a control instance,
# an entry instance and a stand-in database on loopback addresses.
#
# run_crowd BUILD NAME TARGET...: TARGET is entry, ready or control, the address that
# the crowd connects to; forwarded: an entry instance that forwards its sessions to
# two others, whose memory is checked as well.
#
# The settings give each process 64 MB and 600 descriptors, of which 200 are
# reserved for files outside of the process.
memory=64
connections=20 # to the database
descriptors=600
reserved=200

settings () { # name, ip, listen
  cat >"$dir/$1.json" <<J
{"node-name":"$1","zone":"z1","ip":"$2","listen":{$3},"internal-ports":[28440,28455],
"limits":{"memory-mb":$memory,"max-fds":$descriptors},"seeds":["127.0.9.1:28782"],"bootstrap":true,
"data-dir":"$dir/data","bounds":{"grace-s":6},"cloud-api":{"addr":"127.0.9.8:9"},"fault-tolerance":{"machines":0}}
J
}
cleanup () {
  for p in $pids; do
    kill -9 "$p" 2>/dev/null || true
    wait "$p" 2>/dev/null || true
  done
  pids=
  rm -rf "$dir"
}
fail () { echo "failed: $*"; tail -n 5 "$dir"/*.log; exit 1; }
start () { # name, program
  (ulimit -n $descriptors
   PIMENTOPOST_CONFIG=$dir/$1.json exec "$bin/$2") >"$dir/$1.log" 2>&1 &
  eval "pid_$1=$!"
  pids="$pids $!"
}
put_config () {
  curl -s -o /dev/null -w '%{http_code}' -m 2 -X PUT --data-binary @- http://127.0.9.1:28782/pimentopost/config <<J || true
{"version":1,"services":[{"name":"s","max-conns":$connections}],
"routes":[{"host":"hcrowd","service":"s","timeout-ms":2000,"route-kind":"primary"}],
"limits":{"tx-idle-ms":3000}}
J
}
heartbeats () {
  seq=0
  while :; do
    seq=$((seq + 1))
    curl -s -o /dev/null -m 2 -X PUT http://127.0.9.1:28782/pimentopost/instances/i-1 -d \
      '{"service":"s","addr":"127.0.9.3:28500","zone":"z1","state":"ready","db-role":"primary","version":"v1","cold-left-ms":0,"slots":8,"seq":'$seq'}' || true
    sleep 0.3
  done
}
until_ok () { # what, command...
  what=$1; shift
  for _ in $(seq 100); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  fail "$what"
}
ready () { [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 http://127.0.9.2:28785/pimentopost/readiness)" = 200 ]; }
configured () { [ "$(put_config)" = 200 ]; }

run_one () { # build, crowd, target
  bin=$1/bin
  dir=$(mktemp -d)
  pids=
  trap cleanup EXIT
  settings control 127.0.9.1 '"control":"127.0.9.1:28782"'
  settings entry 127.0.9.2 '"front":"127.0.9.2:28784","ready":"127.0.9.2:28785"'
  "$1/test/crowd/db" 127.0.9.3:28500 >"$dir/db.log" 2>&1 &
  pids="$pids $!"
  start control pimentopost-control
  start entry pimentopost-entry
  others=
  if [ "$3" = forwarded ]; then
    connections=4
    for i in 4 5; do
      settings owner$i 127.0.9.$i "\"front\":\"127.0.9.$i:28784\",\"ready\":\"127.0.9.$i:28785\""
      start owner$i pimentopost-entry
      others="$others $!"
    done
  fi
  until_ok "the configuration is not accepted" configured
  heartbeats &
  pids="$pids $!"
  until_ok "the entry instance is not ready" ready
  # shellcheck disable=SC2154 # set by start
  case $3 in
    entry | forwarded) at=127.0.9.2:28784 pid=$pid_entry ;;
    ready) at=127.0.9.2:28785 pid=$pid_entry ;;
    control) at=127.0.9.1:28782 pid=$pid_control ;;
  esac
  result=0
  "$1/test/crowd/crowd" "$2" "$at" "$pid" $memory $((descriptors - reserved)) 127.0.9.1:28782 || result=1
  for p in $others; do
    peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$p/status" 2>/dev/null || true)
    echo "$name: memory of another instance ${peak:-none} kB"
    [ "${peak:-0}" -gt 0 ] && [ "${peak:-0}" -le $((memory * 1024)) ] || result=1
  done
  if [ -n "$others" ]; then
    curl -s -m 2 http://127.0.9.2:28785/metrics | grep -q '^pimentopost_forwarded_total [1-9]' || {
      echo "$name: no session was forwarded"; result=1; }
  fi
  [ $result = 0 ] || tail -n 5 "$dir"/*.log
  cleanup
  return $result
}
run_crowd () { # build, crowd, target...
  ulimit -n 4096
  build=$1 name=$2 passed=0 failed=0
  shift 2
  for target in "$@"; do
    if run_one "$build" "$name" "$target"; then
      passed=$((passed + 1))
    else
      failed=$((failed + 1)); echo "failed: $name at $target"
    fi
  done
  echo "$passed passed, $failed failed"
  [ "$failed" = 0 ]
}
