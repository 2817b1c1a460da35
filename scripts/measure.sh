#!/usr/bin/env bash
# Measures the real processes on this machine: the platform's stand-in and three daemons (or $1).
#
# It prints what callers got, beside direct calls to the minions in the same run: in calm, with a crest of ten times the
# rate, and with a daemon killed. It also prints the store's commits a second and the daemons' processor time and
# memory, idle and under load. Bounded in time; ends only what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
daemons=${1:-3}
port=${MEASURE_PORT:-21000}
out=$(mktemp -d)
pids=()
finish() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap finish EXIT
make -s build

table=$port control=$((port + 1)) minions=$((port + 100)) workers=$((port + 300))
bin/standin --preset textos --table-port $table --control-port $control --minion-base-port $minions \
  --worker-base-port $workers >"$out/standin.log" 2>&1 &
pids+=($!)
sleep 1
export GREENGAGE_SECRET=measure-measure-measure GREENGAGE_AUTHOR=measure GREENGAGED_SECRET=measure-measure-measure
entries=() survivors=()
for i in $(seq "$daemons"); do
  bin/greengaged --listen 127.0.0.1:$((port + 500 + i)) --peer-listen 127.0.0.1:$((port + 550 + i)) \
    --failure-domain "gt-central-$((i % 4))" --region gt-central --table 127.0.0.1:$table \
    --membership 127.0.0.1:$control --services textos --pools textos >"$out/daemon-$i.log" 2>&1 &
  pids+=($!)
  entries+=(--entry 127.0.0.1:$((port + 500 + i)))
  [ "$i" -eq "$daemons" ] || survivors+=(--entry 127.0.0.1:$((port + 500 + i)))
done
export GREENGAGE_ADMIN=127.0.0.1:$((port + 551)) GREENGAGE_CALLERS=127.0.0.1:$((port + 501))
for _ in $(seq 60); do
  curl -sf "http://$GREENGAGE_ADMIN/readyz" >/dev/null && break
  sleep 0.5
done
sleep 8 # until the partitions are divided

cat >"$out/allowances.json" <<'JSON'
{"basic": {"requests_per_second": 100000, "burst": 10000, "concurrency": 5000, "queue": 5000,
  "cpu_milli": 1600000, "memory_mb": 6400000, "accelerators": 0, "tasks": 20000}}
JSON
{
  echo '{'
  for i in $(seq 0 98); do echo "\"customer-$i\": \"basic\","; done
  echo '"customer-99": "basic"}'
} >"$out/plans.json"
bin/greengagectl allowances put --expect 0 "$out/allowances.json" >/dev/null
bin/greengagectl plans put --expect 0 "$out/plans.json" >/dev/null
sleep 2

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
commits() { curl -s "http://127.0.0.1:$control/v1/table" | sed 's/.*"commits":\([0-9]*\).*/\1/'; }
# usage NAME SECONDS COMMAND... runs a command and prints what it cost the first daemon and the store.
usage() {
  local name=$1 seconds=$2 cpu before
  shift 2
  cpu=$(ticks "${pids[1]}") before=$(commits)
  "$@"
  echo "$name: first daemon $(((($(ticks "${pids[1]}") - cpu) * 10) / seconds)) ms of processor a second," \
    "$(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/${pids[1]}/status") MB resident; store $((($(commits) - before) / seconds)) commits a second"
}
load() { bin/greengageload --service textos --bulk-share 0.05 --long-work 200ms --timeout 2s "$@"; }
direct=()
for i in $(seq 0 49); do direct+=(--entry 127.0.0.1:$((minions + i))); done

echo "== idle"
usage idle 10 sleep 10
echo "== 300 requests a second, straight to the minions"
load "${direct[@]}" --direct --rate 300 --duration 10s
echo "== 300 requests a second, through $daemons daemons"
usage calm 10 load "${entries[@]}" --rate 300 --duration 10s
echo "== crest of 3,000 requests a second for 2 s of 10 s"
usage crest 10 load "${entries[@]}" --rate 300 --duration 10s --crest-factor 10
echo "== 10,000 tasks of 100 ms, idempotent"
began=$(date +%s%N)
bin/greengagectl submit job --pool textos --customer customer-1 --key batch --tasks 10000 --cpu-milli 50 --memory-mb 32 \
  --run 100ms --idempotent --payload '{"key":"batch","work_ms":100}' >/dev/null
for _ in $(seq 600); do
  state=$(bin/greengagectl --output json status job textos customer-1 batch 2>/dev/null || true)
  case $state in *'"state":"done"'* | *'"state": "done"'*) break ;; esac
  sleep 0.1
done
took=$((($(date +%s%N) - began) / 1000000))
echo "done after $took ms: $((10000 * 1000 / took)) tasks a second"
echo "== 300 requests a second, last daemon killed after 5 s of 20 s"
(sleep 5 && kill -9 "${pids[-1]}") &
load "${survivors[@]}" --rate 300 --duration 20s
echo "== audit"
curl -s "http://127.0.0.1:$control/v1/audit" | grep -o '"violations": *\[[^]]*\]'
