#!/bin/sh
# Control instances as separate processes. Guards against:
# - a first membership that is formed without an answer of every instance
# - a failover that takes longer than 1 s
# - a restart after 1,000 changes that takes longer than 1 s or has an older version
# - an instance with a new disk that keeps its old identity or does not rejoin as a
#   voter, also when another disk is lost right after
# - a leader that was stopped and does not step down when it resumes
# - a change of the control instances that does not complete
# - malformed messages that disturb other connections
# - a start with damaged files
set -u
B=$1
. test/cluster.inc
Q=$W/tan.yaml
sed 's/127\.0\.0\.1:22/127.0.0.1:20/' examples/tan.yaml >"$Q"
T=$B/bin/pimentopost
S=127.0.0.1:20051,127.0.0.1:20052,127.0.0.1:20053
"$T" generate --settings "$W" --data "$W" "$Q" >/dev/null || fail generate

start_control () { start_instance "tan-control-$1"; }
stop_control () { stop "tan-control-$1" "${2:-KILL}"; }
health () { curl -s --max-time 1 "http://127.0.0.1:2015$1/health"; }
health_is () { health "$1" | grep -q "$2"; }
leader () { for n in 1 2 3; do health_is $n "role=leader leader=known" && echo $n; done | head -1; }
has_leader () { [ -n "$(leader)" ]; }
submit () { base=$1; shift; "$T" submit --server $S --base "$base" --operator op "$@" "$Q" 2>&1; }
now () { echo $(($(date +%s%N) / 1000000)); }
# within MS COMMAND...: repeats it until it succeeds; $TOOK: the ms that it took.
# Fails when that is more than MS.
within () {
  ms=$1 began=$(now); shift
  until "$@" >/dev/null 2>&1; do
    TOOK=$(($(now) - began))
    [ $TOOK -lt 10000 ] || fail "not true within 10 s: $*"
    sleep 0.01
  done
  TOOK=$(($(now) - began))
  [ $TOOK -le "$ms" ] || fail "$*: took $TOOK ms, more than $ms ms"
}
# change: submits a changed questionnaire; V becomes the new version.
change () {
  sed -i "s/session_requests: .*/session_requests: $((V + 1000))/" "$Q"
  submit $V --timeout 5s >"$W/out" || fail "submission $V: $(cat "$W/out")"
  V=$((V + 1))
}
identity () { sed -n 's/.*RAFT_IDENTITY id=\([0-9]*\).*/\1/p' "$W/tan-control-$1.log" | tail -1; }

# Two instances with empty folders wait for the third one, which may hold a log.
for n in 1 2; do start_control $n; done
for n in 1 2; do until_true 3 health_is $n "leader=unknown member=none" || fail "instance $n does not wait for the others"; done
sleep 1
for n in 1 2; do health_is $n "leader=unknown member=none" || fail "instance $n formed a membership without instance 3"; done
start_control 3
within 3000 has_leader
echo "first leader after $TOOK ms"
V=0
change

# The leader is killed.
old=$(leader)
stop_control "$old"
within 1000 has_leader
echo "new leader after a kill: $TOOK ms"
change

# 1,000 changes, then a restart of the instance that was stopped, and of all.
while [ $V -lt 1002 ]; do change; done
start_control "$old"
within 1000 health_is "$old" "version=$V$"
echo "version $V on the restarted instance after $TOOK ms"
for n in 1 2 3; do stop_control $n; done
for n in 1 2 3; do start_control $n; done
for n in 1 2 3; do within 1000 health_is $n "version=$V$"; echo "instance $n has version $V after $TOOK ms"; done

# Lost disks, one after the other, that of the leader last.
l=$(leader)
for n in 1 2 3; do [ $n = "$l" ] || followers="${followers:-} $n"; done
for n in $followers $l; do
  until_true 5 has_leader || fail "no leader before the disk of $n is lost"
  id=$(identity "$n")
  stop_control "$n"
  rm -r "$W/tan-control-$n" "$W/tan-control-$n.log"
  start_control "$n"
  until_true 10 health_is "$n" "member=voter" || fail "instance $n does not become a voter again: $(health "$n")"
  [ "$(identity "$n")" != "$id" ] || fail "instance $n kept its identity without its disk"
  until_true 5 health_is "$n" "version=$V$" || fail "instance $n does not have version $V"
  change
done

# The leader is suspended; when it resumes, it follows the new one.
l=$(leader)
p=$(cat "$W/tan-control-$l.pid")
kill -STOP "$p"
has_other_leader () { for n in 1 2 3; do [ $n != "$l" ] && health_is $n "role=leader" && return; done; return 1; }
within 2000 has_other_leader
echo "new leader after a suspension: $TOOK ms"
change
kill -CONT "$p"
until_true 5 health_is "$l" "role=follower leader=known .*version=$V$" || fail "the resumed leader does not follow the new one: $(health "$l")"

# Two control instances are added by the questionnaire and removed again. An
# instance that the configuration does not name does not become a member.
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
start_control 4
until_true 5 health_is 4 "member=none" || fail "instance 4 does not run, or is a member already"
change
start_control 5
for n in 4 5; do until_true 10 health_is $n "leader=known member=voter .*version=$V$" || fail "instance $n does not become a voter: $(health $n)"; done
cp "$W/three.yaml" "$Q"
change
voters () { curl -s "http://127.0.0.1:2015$(leader)/metrics" | sed -n 's/^pimentopost_raft_voters //p'; }
three_voters () { [ "$(voters)" = 3 ]; }
until_true 10 three_voters || fail "$(voters) voters after two instances were removed"
stop_control 4
stop_control 5
change
l=$(leader)

# A malformed message ends only its own connection.
printf '\000\000\000\003abc' | curl -s --max-time 2 "telnet://127.0.0.1:2005$l" >/dev/null
until_true 2 grep -q FRAME_REFUSED "$W/tan-control-$l.log" || fail "a malformed message is not logged"
curl -s --max-time 2 "http://127.0.0.1:2005$l/" >/dev/null && fail "an oversized frame was answered"
change

# The exit code of a graceful shutdown is 0; that of a start with a damaged file is
# 7, and the log names the file.
p=$(cat "$W/tan-control-$l.pid")
kill -TERM "$p"
wait "$p" || fail "graceful shutdown: exit code $?"
f=$(ls "$W/tan-control-$l"/snap-* | head -1)
printf X | dd of="$f" bs=1 seek=100 conv=notrunc 2>/dev/null
"$B/bin/pimentopostd" --settings "$W/tan-control-$l.yaml" 2>"$W/damaged.log"
code=$?
[ $code = 7 ] || fail "damaged snapshot: exit code $code"
grep -q "FATAL cause=$(basename "$f"): corrupt-data" "$W/damaged.log" || fail "$(cat "$W/damaged.log")"
echo ok
