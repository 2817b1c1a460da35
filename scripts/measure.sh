#!/usr/bin/env bash
# Measures the real processes on this machine: the platform's stand-in and three daemons (or $1).
#
# It prints one table with a row per run: idle, direct calls to the minions, the same load through the daemons, with a
# crest of ten times the rate, with one daemon killed, and a job of 10,000 tasks through one pool owner. greengageload
# computes all columns, with the ratios to the direct calls. Processor time and memory of the first daemon and the
# stand-in's audit follow. Bounded in time; ends only what it started.
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
load() {
  bin/greengageload --service textos --bulk-share 0.05 --long-work 200ms --timeout 2s --control 127.0.0.1:$control --json "$@"
}
reports=()
# measure NAME FLAGS... makes one run, keeps its report, and notes what it cost the first daemon.
measure() {
  local name=$1 cpu began report
  shift
  report="$out/report-${#reports[@]}.json"
  echo "measuring: $name" >&2
  cpu=$(ticks "${pids[1]}") began=$(date +%s%N)
  load --name "$name" "$@" >"$report"
  reports+=(--compare "$report")
  echo "$name: $(((($(ticks "${pids[1]}") - cpu) * 10000) / (($(date +%s%N) - began) / 1000000))) ms of processor a second," \
    "$(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/${pids[1]}/status") MB resident" >>"$out/first-daemon"
}
direct=()
for i in $(seq 0 49); do direct+=(--entry 127.0.0.1:$((minions + i))); done

measure "idle" "${entries[@]}" --rate 0 --duration 10s
measure "direct to minions, 300/s" "${direct[@]}" --direct --rate 300 --duration 10s
measure "$daemons daemons, 300/s" "${entries[@]}" --rate 300 --duration 10s
measure "$daemons daemons, crest of 3,000/s" "${entries[@]}" --rate 300 --duration 10s --crest-factor 10
measure "10,000 tasks of 100 ms" "${entries[@]}" --tasks 10000
disown "${pids[-1]}" # or the shell reports the kill between the results
(sleep 5 && kill -9 "${pids[-1]}") &
measure "one daemon killed after 5 of 20 s" "${survivors[@]}" --rate 300 --duration 20s

bin/greengageload "${reports[@]}"
echo "first daemon:"
cat "$out/first-daemon"
echo "audit: $(curl -s "http://127.0.0.1:$control/v1/audit" | grep -o '"violations": *\[[^]]*\]')"
