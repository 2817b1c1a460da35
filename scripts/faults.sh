#!/usr/bin/env bash
# Generates load against real processes while daemons are frozen, killed and restarted and the store fails. Then it checks
# the audit of the fake platform (bin/standin): no worker exceeded its capacity, no task ran in two places at a time, and
# no non-idempotent work ran twice.
#
# The tests in virtual time cannot freeze a process. The script takes about 100 s and ends only processes that it started.
# It is not part of the tests, since the order of events among real processes is not reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
base_port=${FAULTS_PORT:-23000}
daemon_count=4
out_dir=$(mktemp -d)
declare -A pids
cleanup() {
  for p in "${pids[@]}"; do
    kill -CONT "$p" 2>/dev/null || true
    kill -9 "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap cleanup EXIT
make -s build

table_port=$base_port control_port=$((base_port + 1))
export GREENGAGE_SECRET=faults-faults-faults GREENGAGE_AUTHOR=faults GREENGAGED_SECRET=faults-faults-faults
export GREENGAGE_ADMIN=127.0.0.1:$((base_port + 551)) GREENGAGE_CALLERS=127.0.0.1:$((base_port + 501))
bin/standin --preset textos --minions 16 --workers 8 --table-port $table_port --control-port $control_port \
  --minion-base-port $((base_port + 100)) --worker-base-port $((base_port + 300)) >"$out_dir/standin.log" 2>&1 &
pids[standin]=$!
start_daemon() {
  bin/greengaged --listen 127.0.0.1:$((base_port + 500 + $1)) --peer-listen 127.0.0.1:$((base_port + 550 + $1)) \
    --failure-domain "gt-central-$1" --region gt-central --table 127.0.0.1:$table_port --membership 127.0.0.1:$control_port \
    --services textos --pools textos >>"$out_dir/daemon-$1.log" 2>&1 &
  pids[$1]=$!
}
sleep 1
entry_flags=()
for i in $(seq $daemon_count); do
  start_daemon "$i"
  entry_flags+=(--entry 127.0.0.1:$((base_port + 500 + i)))
done
sleep 10
echo '{"basic": {"requests_per_second": 100000, "burst": 10000, "concurrency": 5000, "queue": 5000,
  "cpu_milli": 1600000, "memory_mb": 6400000, "accelerators": 0, "tasks": 20000}}' >"$out_dir/allowances.json"
{ echo '{'; for i in $(seq 0 18); do echo "\"customer-$i\": \"basic\","; done; echo '"customer-19": "basic"}'; } >"$out_dir/plans.json"
bin/greengagectl allowances put --expect 0 "$out_dir/allowances.json" >/dev/null
bin/greengagectl plans put --expect 0 "$out_dir/plans.json" >/dev/null
sleep 2

inject_fault() { curl -s -XPOST "127.0.0.1:$control_port/v1/faults" -d "$1" >/dev/null; }
log() { echo "$(date +%T) $*"; }
submit_jobs() { # submits the non-idempotent jobs $1 to $2 one after the other
  for i in $(seq "$1" "$2"); do
    bin/greengagectl submit job --pool textos --customer "customer-$((i % 20))" --key "job-$i" --tasks 20 --cpu-milli 2000 \
      --memory-mb 512 --run 3s --payload "{\"key\":\"job-$i\",\"work_ms\":3000}" >/dev/null 2>&1 || true
    sleep 0.5
  done
}
bin/greengageload --service textos "${entry_flags[@]}" --rate 150 --duration 75s --bulk-share 0.1 --long-work 300ms \
  --timeout 2s --customers 20 >"$out_dir/load.txt" &
load_pid=$!
submit_jobs 1 120 &
submitter_pid=$!
sleep 4
log "freezing daemon 1 for 9 s"; kill -STOP "${pids[1]}"; sleep 9; kill -CONT "${pids[1]}"; sleep 4
log "killing daemon 2, restarting it after 3 s"; kill -9 "${pids[2]}"; sleep 3; start_daemon 2; sleep 5
log "store down for 12 s, daemon 3 frozen for 6 s meanwhile"; inject_fault '{"target":"table","outage":true}'
sleep 2; kill -STOP "${pids[3]}"; sleep 6; kill -CONT "${pids[3]}"; sleep 4; inject_fault '{"target":"table","clear":true}'; sleep 4
log "losing 20 responses of the store, killing daemon 4"; inject_fault '{"target":"table","lose_responses":20}'
kill -9 "${pids[4]}"; sleep 3; start_daemon 4; sleep 5
log "slow store, freezing daemon 2 for 7 s"; inject_fault '{"target":"table","delay_ms":400}'
kill -STOP "${pids[2]}"; sleep 7; kill -CONT "${pids[2]}"; inject_fault '{"target":"table","clear":true}'
wait $load_pid $submitter_pid || true
cat "$out_dir/load.txt"
sleep 8
bin/greengagectl state >"$out_dir/state.json" 2>&1 || true
audit=$(curl -s "127.0.0.1:$control_port/v1/audit")
violations=$(printf '%s' "$audit" | tr -d '\n ' | sed 's/.*"violations":\(\[[^]]*\]\).*/\1/')
overlaps=$(printf '%s' "$audit" | tr -d '\n ' | sed 's/.*"overlaps":\(\[[^]]*\]\).*/\1/')
echo "violations: $violations overlaps: $overlaps (logs in $out_dir)"
[ "$violations" = '[]' ] && [ "$overlaps" = '[]' ]
