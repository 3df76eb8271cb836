#!/bin/sh
# A control cell of separate processes. Guards against a first membership formed
# without asking every instance, a leader whose loss stops
# the cell for a second, a restart behind 1,000 changes that takes a second or
# comes back to an older version, a lost disk that keeps its vote or stays
# outside, a second loss right after that repair, a stopped leader that still
# believes it leads when it wakes, a change of the control instances that never
# ends, malformed messages, and a start over damaged files.
set -u
B=$1
. test/cluster.inc
Q=$W/tan.yaml
sed 's/127\.0\.0\.1:22/127.0.0.1:20/' examples/tan.yaml >"$Q"
T=$B/bin/pimentopost
S=127.0.0.1:20051,127.0.0.1:20052,127.0.0.1:20053
"$T" generate --settings "$W" --data "$W" "$Q" >/dev/null || fail generate

start () { start_instance "tan-control-$1"; }
halt () { stop "tan-control-$1" "${2:-KILL}"; }
health () { curl -s --max-time 1 "http://127.0.0.1:2015$1/health"; }
health_is () { health "$1" | grep -q "$2"; }
leader () { for n in 1 2 3; do health_is $n "role=leader leader=known" && echo $n; done | head -1; }
has_leader () { [ -n "$(leader)" ]; }
submit () { base=$1; shift; "$T" submit --server $S --base "$base" --operator op "$@" "$Q" 2>&1; }
now () { echo $(($(date +%s%N) / 1000000)); }
# within MS COMMAND...: time until it is true, in $TOOK; fails when over MS.
within () {
  ms=$1 began=$(now); shift
  until "$@" >/dev/null 2>&1; do
    TOOK=$(($(now) - began))
    [ $TOOK -lt 10000 ] || fail "never true: $*"
    sleep 0.01
  done
  TOOK=$(($(now) - began))
  [ $TOOK -le "$ms" ] || fail "$*: $TOOK ms, at most $ms"
}
# change: one more submission, giving version V.
change () {
  sed -i "s/session_requests: .*/session_requests: $((V + 1000))/" "$Q"
  submit $V --timeout 5s >"$W/out" || fail "submission $V: $(cat "$W/out")"
  V=$((V + 1))
}
identity () { sed -n 's/.*RAFT_IDENTITY id=\([0-9]*\).*/\1/p' "$W/tan-control-$1.log" | tail -1; }

# Two instances with empty folders wait for the third, which may hold a log.
for n in 1 2; do start $n; done
for n in 1 2; do until_true 3 health_is $n "leader=unknown member=none" || fail "instance $n does not wait"; done
sleep 1
for n in 1 2; do health_is $n "leader=unknown member=none" || fail "instance $n did not wait for all"; done
start 3
within 3000 has_leader
echo "first leader after $TOOK ms"
V=0
change

# The leader is killed.
old=$(leader)
halt "$old"
within 1000 has_leader
echo "new leader after a kill: $TOOK ms"
change

# 1,000 changes, then a restart of the one that was away and of all.
while [ $V -lt 1002 ]; do change; done
start "$old"
within 1000 health_is "$old" "version=$V$"
echo "version $V on the restarted instance after $TOOK ms"
for n in 1 2 3; do halt $n; done
for n in 1 2 3; do start $n; done
for n in 1 2 3; do within 1000 health_is $n "version=$V$"; echo "instance $n back after $TOOK ms"; done

# Lost disks, one after the other, the leader's last.
l=$(leader)
for n in 1 2 3; do [ $n = "$l" ] || lose="${lose:-} $n"; done
for n in $lose $l; do
  until_true 5 has_leader || fail "no leader before the loss of $n"
  id=$(identity "$n")
  halt "$n"
  rm -r "$W/tan-control-$n" "$W/tan-control-$n.log"
  start "$n"
  until_true 10 health_is "$n" "member=voter" || fail "instance $n is no voter again: $(health "$n")"
  [ "$(identity "$n")" != "$id" ] || fail "the lost disk kept its identity"
  until_true 5 health_is "$n" "version=$V$" || fail "instance $n lacks version $V"
  change
done

# A leader is stopped; when it wakes, it follows the new one.
l=$(leader)
p=$(cat "$W/tan-control-$l.pid")
kill -STOP "$p"
has_other () { for n in 1 2 3; do [ $n != "$l" ] && health_is $n "role=leader" && return; done; return 1; }
within 2000 has_other
echo "new leader after a stop: $TOOK ms"
change
kill -CONT "$p"
until_true 5 health_is "$l" "role=follower leader=known .*version=$V$" || fail "the stopped leader did not follow: $(health "$l")"

# Two more control instances by the questionnaire, then back to three. A name
# that the configuration does not have stays outside.
cp "$Q" "$W/three.yaml"
i=$(grep -n '^# What requests are worth' "$Q" | cut -d: -f1)
{
  head -n $((i - 2)) "$W/three.yaml"
  for n in 4 5; do
    printf '  - name: tan-control-%s\n    role: control\n' $n
    printf '    availability_zone: %s\n' "$(zone $((n - 3)))"
    printf '    address: 127.0.0.1:2005%s\n    health: 127.0.0.1:2015%s\n' $n $n
  done
  tail -n +$((i - 1)) "$W/three.yaml"
} >"$Q"
"$T" generate --settings "$W" --data "$W" "$Q" >/dev/null || fail "generate for five"
start 4
until_true 5 health_is 4 "member=none" || fail "instance 4 does not run"
change
start 5
for n in 4 5; do until_true 10 health_is $n "leader=known member=voter .*version=$V$" || fail "instance $n is no voter: $(health $n)"; done
cp "$W/three.yaml" "$Q"
change
voters () { curl -s "http://127.0.0.1:2015$(leader)/metrics" | sed -n 's/^pimentopost_raft_voters //p'; }
three () { [ "$(voters)" = 3 ]; }
until_true 10 three || fail "$(voters) voters after the change back"
halt 4
halt 5
change
l=$(leader)

# A message that is none ends its connection only.
printf '\000\000\000\003abc' | curl -s --max-time 2 "telnet://127.0.0.1:2005$l" >/dev/null
until_true 2 grep -q FRAME_REFUSED "$W/tan-control-$l.log" || fail "no refusal of a malformed message"
curl -s --max-time 2 "http://127.0.0.1:2005$l/" >/dev/null && fail "an oversized frame was answered"
change

# A planned stop ends with 0; damaged files end with 7 and the file's name.
p=$(cat "$W/tan-control-$l.pid")
kill -TERM "$p"
wait "$p" || fail "planned stop: code $?"
f=$(ls "$W/tan-control-$l"/snap-* | head -1)
printf X | dd of="$f" bs=1 seek=100 conv=notrunc 2>/dev/null
"$B/bin/pimentopostd" --settings "$W/tan-control-$l.yaml" 2>"$W/damaged.log"
code=$?
[ $code = 7 ] || fail "damaged snapshot: code $code"
grep -q "FATAL cause=$(basename "$f"): corrupt-data" "$W/damaged.log" || fail "$(cat "$W/damaged.log")"
echo ok
