#!/usr/bin/env bash
# Runs load against real processes while daemons are frozen, killed and replaced and the store fails, and checks the
# stand-in's audit: no worker over capacity, no task in two places, nothing non-idempotent run twice.
#
# Freezing a process is what the tests in virtual time cannot do. Takes about 100 s; ends only what it started. The order
# of events on real processes is not repeatable, so this is no part of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
port=${FAULTS_PORT:-23000}
daemons=4
out=$(mktemp -d)
declare -A pid
finish() {
  for p in "${pid[@]}"; do
    kill -CONT "$p" 2>/dev/null || true
    kill -9 "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap finish EXIT
make -s build

table=$port control=$((port + 1))
export GREENGAGE_SECRET=faults-faults-faults GREENGAGE_AUTHOR=faults GREENGAGED_SECRET=faults-faults-faults
export GREENGAGE_ADMIN=127.0.0.1:$((port + 551)) GREENGAGE_CALLERS=127.0.0.1:$((port + 501))
bin/standin --preset textos --minions 16 --workers 8 --table-port $table --control-port $control \
  --minion-base-port $((port + 100)) --worker-base-port $((port + 300)) >"$out/standin.log" 2>&1 &
pid[standin]=$!
start() {
  bin/greengaged --listen 127.0.0.1:$((port + 500 + $1)) --peer-listen 127.0.0.1:$((port + 550 + $1)) \
    --failure-domain "gt-central-$1" --region gt-central --table 127.0.0.1:$table --membership 127.0.0.1:$control \
    --services textos --pools textos >>"$out/daemon-$1.log" 2>&1 &
  pid[$1]=$!
}
sleep 1
entries=()
for i in $(seq $daemons); do
  start "$i"
  entries+=(--entry 127.0.0.1:$((port + 500 + i)))
done
sleep 10
echo '{"basic": {"requests_per_second": 100000, "burst": 10000, "concurrency": 5000, "queue": 5000,
  "cpu_milli": 1600000, "memory_mb": 6400000, "accelerators": 0, "tasks": 20000}}' >"$out/allowances.json"
{ echo '{'; for i in $(seq 0 18); do echo "\"customer-$i\": \"basic\","; done; echo '"customer-19": "basic"}'; } >"$out/plans.json"
bin/greengagectl allowances put --expect 0 "$out/allowances.json" >/dev/null
bin/greengagectl plans put --expect 0 "$out/plans.json" >/dev/null
sleep 2

fault() { curl -s -XPOST "127.0.0.1:$control/v1/faults" -d "$1" >/dev/null; }
note() { echo "$(date +%T) $*"; }
jobs_() { # non-idempotent jobs, one after the other
  for i in $(seq "$1" "$2"); do
    bin/greengagectl submit job --pool textos --customer "customer-$((i % 20))" --key "job-$i" --tasks 20 --cpu-milli 2000 \
      --memory-mb 512 --run 3s --payload "{\"key\":\"job-$i\",\"work_ms\":3000}" >/dev/null 2>&1 || true
    sleep 0.5
  done
}
bin/greengageload --service textos "${entries[@]}" --rate 150 --duration 75s --bulk-share 0.1 --long-work 300ms \
  --timeout 2s --customers 20 >"$out/load.txt" &
load=$!
jobs_ 1 120 &
submitter=$!
sleep 4
note "freeze daemon 1 for 9 s"; kill -STOP "${pid[1]}"; sleep 9; kill -CONT "${pid[1]}"; sleep 4
note "kill daemon 2, restart after 3 s"; kill -9 "${pid[2]}"; sleep 3; start 2; sleep 5
note "store down for 12 s, daemon 3 frozen for 6 s of it"; fault '{"target":"table","outage":true}'
sleep 2; kill -STOP "${pid[3]}"; sleep 6; kill -CONT "${pid[3]}"; sleep 4; fault '{"target":"table","clear":true}'; sleep 4
note "20 lost responses of the store, daemon 4 killed"; fault '{"target":"table","lose_responses":20}'
kill -9 "${pid[4]}"; sleep 3; start 4; sleep 5
note "slow store, daemon 2 frozen for 7 s"; fault '{"target":"table","delay_ms":400}'
kill -STOP "${pid[2]}"; sleep 7; kill -CONT "${pid[2]}"; fault '{"target":"table","clear":true}'
wait $load $submitter || true
cat "$out/load.txt"
sleep 8
bin/greengagectl state >"$out/state.json" 2>&1 || true
audit=$(curl -s "127.0.0.1:$control/v1/audit")
violations=$(printf '%s' "$audit" | tr -d '\n ' | sed 's/.*"violations":\(\[[^]]*\]\).*/\1/')
overlaps=$(printf '%s' "$audit" | tr -d '\n ' | sed 's/.*"overlaps":\(\[[^]]*\]\).*/\1/')
echo "violations: $violations overlaps: $overlaps (logs in $out)"
[ "$violations" = '[]' ] && [ "$overlaps" = '[]' ]
