#!/usr/bin/env bash
# Measures added latency, table writes and task placements per second with real processes on this machine: the fake
# platform (bin/standin) and $1 daemons (default three).
#
# It prints one table with a row per run: idle, direct calls to the minions, the same load through the daemons, with a
# load peak (crest) of ten times the rate, with one daemon killed, and a job of 10,000 tasks through one pool owner.
# greengageload computes all columns, including the ratios to the direct calls. After the table come the CPU time and
# memory of the first daemon and the violations in the fake platform's audit. The script runs for a limited time and
# ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
daemon_count=${1:-3}
base_port=${MEASURE_PORT:-21000}
out_dir=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$out_dir"
}
trap cleanup EXIT
make -s build

table_port=$base_port control_port=$((base_port + 1))
minion_base_port=$((base_port + 100)) worker_base_port=$((base_port + 300))
bin/standin --preset textos --table-port $table_port --control-port $control_port --minion-base-port $minion_base_port \
  --worker-base-port $worker_base_port >"$out_dir/standin.log" 2>&1 &
pids+=($!)
sleep 1
export GREENGAGE_SECRET=measure-measure-measure GREENGAGE_AUTHOR=measure GREENGAGED_SECRET=measure-measure-measure
entry_flags=() survivor_flags=()
for i in $(seq "$daemon_count"); do
  bin/greengaged --listen 127.0.0.1:$((base_port + 500 + i)) --peer-listen 127.0.0.1:$((base_port + 550 + i)) \
    --failure-domain "gt-central-$((i % 4))" --region gt-central --table 127.0.0.1:$table_port \
    --membership 127.0.0.1:$control_port --services textos --pools textos >"$out_dir/daemon-$i.log" 2>&1 &
  pids+=($!)
  entry_flags+=(--entry 127.0.0.1:$((base_port + 500 + i)))
  [ "$i" -eq "$daemon_count" ] || survivor_flags+=(--entry 127.0.0.1:$((base_port + 500 + i)))
done
export GREENGAGE_ADMIN=127.0.0.1:$((base_port + 551)) GREENGAGE_CALLERS=127.0.0.1:$((base_port + 501))
for _ in $(seq 60); do
  curl -sf "http://$GREENGAGE_ADMIN/readyz" >/dev/null && break
  sleep 0.5
done
sleep 8 # until the partitions are distributed among the daemons

cat >"$out_dir/allowances.json" <<'JSON'
{"basic": {"requests_per_second": 100000, "burst": 10000, "concurrency": 5000, "queue": 5000,
  "cpu_milli": 1600000, "memory_mb": 6400000, "accelerators": 0, "tasks": 20000}}
JSON
{
  echo '{'
  for i in $(seq 0 98); do echo "\"customer-$i\": \"basic\","; done
  echo '"customer-99": "basic"}'
} >"$out_dir/plans.json"
bin/greengagectl allowances put --expect 0 "$out_dir/allowances.json" >/dev/null
bin/greengagectl plans put --expect 0 "$out_dir/plans.json" >/dev/null
sleep 2

# cpu_ticks prints the user and system CPU time of the process $1 in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
run_load() {
  bin/greengageload --service textos --bulk-share 0.05 --long-work 200ms --timeout 2s --control 127.0.0.1:$control_port --json "$@"
}
compare_flags=()
# measure NAME FLAGS... makes one run, keeps its report for the table, and records the CPU time and memory that the first
# daemon used.
measure() {
  local name=$1 start_ticks start_ns report
  shift
  report="$out_dir/report-${#compare_flags[@]}.json"
  echo "measuring: $name" >&2
  start_ticks=$(cpu_ticks "${pids[1]}") start_ns=$(date +%s%N)
  run_load --name "$name" "$@" >"$report"
  compare_flags+=(--compare "$report")
  echo "$name: $(((($(cpu_ticks "${pids[1]}") - start_ticks) * 10000) / (($(date +%s%N) - start_ns) / 1000000))) ms of CPU time per second," \
    "$(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/${pids[1]}/status") MB resident" >>"$out_dir/first-daemon"
}
minion_flags=()
for i in $(seq 0 49); do minion_flags+=(--entry 127.0.0.1:$((minion_base_port + i))); done

measure "idle" "${entry_flags[@]}" --rate 0 --duration 10s
measure "direct to minions, 300/s" "${minion_flags[@]}" --direct --rate 300 --duration 10s
measure "$daemon_count daemons, 300/s" "${entry_flags[@]}" --rate 300 --duration 10s
measure "$daemon_count daemons, crest of 3,000/s" "${entry_flags[@]}" --rate 300 --duration 10s --crest-factor 10
measure "10,000 tasks of 100 ms" "${entry_flags[@]}" --tasks 10000
disown "${pids[-1]}" # otherwise the shell prints a message about the killed job among the results
(sleep 5 && kill -9 "${pids[-1]}") &
measure "one daemon killed after 5 of 20 s" "${survivor_flags[@]}" --rate 300 --duration 20s

bin/greengageload "${compare_flags[@]}"
echo "first daemon:"
cat "$out_dir/first-daemon"
echo "audit: $(curl -s "http://127.0.0.1:$control_port/v1/audit" | grep -o '"violations": *\[[^]]*\]')"
