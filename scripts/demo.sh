#!/usr/bin/env bash
# Runs three daemons against the fake platform on 127.0.0.1, kills one of them while it serves requests and jobs, and
# checks the callers' outcomes and the platform's audit against the scheduler's guarantees. Exits with 0 only if all of
# them held.
#
# Environment variables: DEMO_BIN (directory of the binaries, default bin), DEMO_OUT (logs and responses, default out/demo),
# DEMO_PORT (first port, default 17000), DEMO_LIMIT (seconds for the whole run, default 240).
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

BIN=${DEMO_BIN:-bin}
OUT=${DEMO_OUT:-out/demo}
BASE_PORT=${DEMO_PORT:-17000}
TIME_LIMIT_S=${DEMO_LIMIT:-240}

HOST=127.0.0.1
TABLE_ADDR=$HOST:$BASE_PORT
CONTROL_ADDR=$HOST:$((BASE_PORT + 1))
FAILURE_DOMAINS=(gt-central-a gt-central-b gt-central-c)
READY_TIMEOUT_S=30     # until the daemons are ready and own their partitions
EDIT_TIMEOUT_S=5       # until an edit of a list is in force on every daemon (guarantee 8)
JOBS_TIMEOUT_S=120     # until all jobs have ended: takeover, expiry of leases (16 s) and the work itself
STOP_TIMEOUT_S=25      # a graceful stop takes at most 20 s
CALLER_COUNT=6         # concurrent callers while a daemon is killed
REQUESTS_PER_CALLER=10 # sent by each caller

declare -A PIDS=() # name -> process ID of each process that this script started and that has not exited yet
FAILURES=0

log() { printf '%3d s  %s\n' "$SECONDS" "$*"; }
fail() {
	FAILURES=$((FAILURES + 1))
	log "FAILED: $*"
}
abort() {
	fail "$*"
	exit 1
}

start_process() { # name command...
	local name=$1
	shift
	"$@" >"$OUT/$name.log" 2>&1 &
	PIDS[$name]=$!
	log "started $name, process ${PIDS[$name]}"
}

is_running() { kill -0 "$1" 2>/dev/null; }

# wait_exit waits up to $2 seconds for the process named $1 to exit and sets EXIT_CODE to its exit code. It fails if the
# process is still running then.
wait_exit() {
	local pid=${PIDS[$1]} end=$((SECONDS + $2))
	while is_running "$pid"; do
		((SECONDS < end)) || return 1
		sleep 0.1
	done
	wait "$pid" 2>/dev/null
	EXIT_CODE=$?
	unset "PIDS[$1]"
}

# cleanup ends the processes that are still running, by process ID: first with SIGTERM, after 5 s with SIGKILL.
cleanup() {
	local name
	for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null; done
	for name in "${!PIDS[@]}"; do
		wait_exit "$name" 5 && continue
		log "process ${PIDS[$name]} ($name) did not exit after SIGTERM; killing it"
		kill -KILL "${PIDS[$name]}" 2>/dev/null
		wait_exit "$name" 5
	done
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# wait_for repeats a command until it succeeds. It aborts the script after $1 seconds, or earlier when the time limit of the
# whole run is reached. $2 says what it waits for.
wait_for() {
	local end=$((SECONDS + $1)) what=$2
	shift 2
	((end < TIME_LIMIT_S)) || end=$TIME_LIMIT_S
	until "$@" >/dev/null 2>&1; do
		((SECONDS < end)) || abort "timed out waiting for $what"
		sleep 0.2
	done
}

fetch() { curl -sf --max-time 5 "$@"; }
ctl() { timeout 60 "$BIN/greengagectl" --timeout 12s "$@"; }

# json_field prints the top-level field $1 of the indented JSON on standard input.
json_field() { sed -n "s/^  \"$1\": \"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}\$/\1/p"; }

# ctl_retry retries a greengagectl command while its exit code is 3 (nothing was changed), as a caller would.
ctl_retry() {
	local end=$((SECONDS + READY_TIMEOUT_S)) code response
	while true; do
		response=$(ctl "$@")
		code=$?
		if ((code != 3 || SECONDS >= end)); then
			[[ -z $response ]] || echo "$response"
			return "$code"
		fi
		sleep 0.3
	done
}

# send_request sends one non-idempotent request and appends "key outcome code attempts" with the caller's final outcome to
# the file outcomes. If the first outcome is unknown, it retries once with the same key, trying the other daemons first.
send_request() { # service customer key work_ms
	local json="$OUT/request-$3.json" code=0 try outcome
	local -x GREENGAGE_CALLERS=$GREENGAGE_CALLERS
	for try in 1 2; do
		ctl_retry --output json submit request --service "$1" --customer "$2" --key "$3" --class urgent \
			--deadline 8s --payload "{\"key\":\"$3\",\"work_ms\":$4,\"once\":true}" >"$json" 2>"$json.err"
		code=$?
		((code == 5 && try == 1)) || break
		GREENGAGE_CALLERS=${GREENGAGE_CALLERS#*,},${GREENGAGE_CALLERS%%,*}
		sleep 1
	done
	outcome=$(json_field outcome <"$json")
	if [[ -z $outcome ]]; then # exit code 3 without an outcome: the request was not sent
		outcome=unknown
		if ((code == 3)); then outcome=not_run; fi
	fi
	# If the second call was not accepted, the first one may still have run.
	if ((code == 3 && try == 2)); then outcome=unknown; fi
	if [[ $outcome == "done" ]] && ! grep -qF "\"key\": \"$3\"" <<<"$(sed -n '/"result"/,/}/p' "$json")"; then
		outcome=foreign # the response belongs to another request
	fi
	code=$(json_field code <"$json")
	printf '%s %s %s %s\n' "$3" "$outcome" "${code:--}" "$try" >>"$OUT/outcomes"
}

run_caller() { # number
	local i
	for ((i = 1; i <= REQUESTS_PER_CALLER; i++)); do
		if (($1 % 2)); then
			send_request textos libreria "preview-$1-$i" 150
		else
			send_request eierabo aarwil "pause-$1-$i" 150
		fi
	done
}

submit_job() { # pool customer key flags...
	local pool=$1 customer=$2 key=$3
	shift 3
	ctl_retry --output json submit job --pool "$pool" --customer "$customer" --key "$key" "$@" \
		>"$OUT/job-$key.json" 2>"$OUT/job-$key.err" ||
		fail "job $key was not accepted: exit code $?, $(tr '\n' ' ' <"$OUT/job-$key.err")"
}

job_state() { ctl --output json status job "$1" "$2" "$3" 2>/dev/null | json_field state; }
job_state_in() { # pool customer key states...
	local state
	state=$(job_state "$1" "$2" "$3")
	shift 3
	[[ -n $state && " $* " == *" $state "* ]]
}

# list_version_is succeeds if version $3 of the list $2 is in force on the daemon $1.
list_version_is() { [[ $(ctl --admin "$1" --output json "$2" get 2>/dev/null | json_field in_force) == "$3" ]]; }

# run_count prints how often the request with the key $1 ran on minions.
run_count() {
	sed -n 's/.*"request_runs":{\([^}]*\)}.*/\1/p' "$OUT/audit.json" | tr ',' '\n' |
		sed -n "s/^\"$1\":\([0-9]*\)\$/\1/p"
}

for tool in curl timeout "$BIN/standin" "$BIN/greengaged" "$BIN/greengagectl"; do
	command -v "$tool" >/dev/null || { echo "demo.sh: $tool is missing; run make build" >&2; exit 2; }
done
mkdir -p "$OUT"
rm -f "$OUT"/*.log "$OUT"/*.json "$OUT"/*.err "$OUT"/outcomes

# --- start -----------------------------------------------------------------------------------------------------------
start_process standin "$BIN/standin" --minions 8 --workers 8 --table-port "$BASE_PORT" --control-port "$((BASE_PORT + 1))" \
	--minion-base-port "$((BASE_PORT + 100))" --worker-base-port "$((BASE_PORT + 300))"
wait_for 10 "the fake platform to start" fetch "http://$CONTROL_ADDR/v1/hosts"

SECRET=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
ADMIN_ADDRS=() CALLER_ADDRS=()
for i in 0 1 2; do
	CALLER_ADDRS+=("$HOST:$((BASE_PORT + 10 + i))")
	ADMIN_ADDRS+=("$HOST:$((BASE_PORT + 20 + i))")
	start_process "daemon$i" "$BIN/greengaged" --listen "${CALLER_ADDRS[i]}" --peer-listen "${ADMIN_ADDRS[i]}" \
		--failure-domain "${FAILURE_DOMAINS[i]}" --region gt-central --table "$TABLE_ADDR" --membership "$CONTROL_ADDR" \
		--secret "$SECRET" --services textos,eierabo --pools textos,eierabo
	fetch -o /dev/null -d "{\"id\":\"${ADMIN_ADDRS[i]}\",\"addr\":\"${ADMIN_ADDRS[i]}\",\"kind\":\"daemon\",\"failure_domain\":\"${FAILURE_DOMAINS[i]}\"}" \
		"http://$CONTROL_ADDR/v1/hosts" || fail "daemon$i could not be added to the membership list"
done
export GREENGAGE_SECRET=$SECRET GREENGAGE_AUTHOR=demo GREENGAGE_CALLERS GREENGAGE_ADMIN
GREENGAGE_ADMIN=$(IFS=,; echo "${ADMIN_ADDRS[*]}")
# daemon0, which will be killed, comes first, so that it has calls in flight at that time.
GREENGAGE_CALLERS=$(IFS=,; echo "${CALLER_ADDRS[*]}")
for i in 0 1 2; do
	wait_for "$READY_TIMEOUT_S" "daemon$i to be ready" fetch "http://${ADMIN_ADDRS[i]}/readyz"
done
log "three daemons are ready"

# --- lists -----------------------------------------------------------------------------------------------------------
cat >"$OUT/allowances.json" <<'JSON'
{
  "festival": {"requests_per_second": 200, "burst": 100, "concurrency": 100, "queue": 200,
    "cpu_milli": 200000, "memory_mb": 400000, "accelerators": 0, "tasks": 200},
  "utility": {"requests_per_second": 200, "burst": 100, "concurrency": 100, "queue": 200,
    "cpu_milli": 100000, "memory_mb": 200000, "accelerators": 0, "tasks": 100}
}
JSON
echo '{"libreria": "festival", "aarwil": "utility"}' >"$OUT/plans.json"
ctl_retry allowances put --expect 0 "$OUT/allowances.json" || abort "the allowances were not accepted"
ctl_retry plans put --expect 0 "$OUT/plans.json" || abort "the plans were not accepted"
for addr in "${ADMIN_ADDRS[@]}"; do
	wait_for "$EDIT_TIMEOUT_S" "version 1 of the lists at $addr" list_version_is "$addr" plans 1
	wait_for "$EDIT_TIMEOUT_S" "version 1 of the lists at $addr" list_version_is "$addr" allowances 1
done
ctl plans get
ctl allowances get

# --- work ------------------------------------------------------------------------------------------------------------
send_request textos libreria preview-counter 50
send_request eierabo aarwil pause-portal 50
submit_job textos libreria festival --kind batch --class bulk --idempotent --tasks 40 --cpu-milli 2000 --memory-mb 2048 \
	--run 3s --payload '{"key":"festival","work_ms":3000}'
submit_job textos libreria rehearsal --kind gang --idempotent --tasks 4 --cpu-milli 4000 --memory-mb 4096 \
	--run 4s --payload '{"key":"rehearsal","work_ms":4000}'
submit_job textos libreria glossary --kind service --idempotent --tasks 2 --cpu-milli 500 --memory-mb 512 \
	--payload '{"key":"glossary"}'
submit_job eierabo aarwil billing --kind batch --class bulk --tasks 12 --cpu-milli 1000 --memory-mb 1024 \
	--run 5s --payload '{"key":"billing","work_ms":5000,"once":true}'
log "the jobs are accepted"

for ((n = 1; n <= CALLER_COUNT; n++)); do
	run_caller "$n" &
	PIDS[caller$n]=$!
done
sleep 1
log "killing daemon0, process ${PIDS[daemon0]}, with SIGKILL"
kill -KILL "${PIDS[daemon0]}"
wait_exit daemon0 5

# --- edit ------------------------------------------------------------------------------------------------------------
ctl_retry allowances edit --expect 1 --set \
	'utility={"requests_per_second":100,"burst":100,"concurrency":100,"queue":200,"cpu_milli":100000,"memory_mb":200000,"accelerators":0,"tasks":100}' ||
	fail "the edit was not accepted"
for i in 1 2; do
	wait_for "$EDIT_TIMEOUT_S" "the edit to reach daemon$i" list_version_is "${ADMIN_ADDRS[i]}" allowances 2
done
log "the edit is in force on both remaining daemons"
ctl allowances edit --expect 1 --set 'spare={"burst":1}' >"$OUT/stale-edit.log" 2>&1
(($? == 4)) || fail "an edit of an outdated version was not rejected as a conflict"

# --- completion ------------------------------------------------------------------------------------------------------
for ((n = 1; n <= CALLER_COUNT; n++)); do
	wait_exit "caller$n" "$((TIME_LIMIT_S - SECONDS))" || fail "caller $n did not finish"
done
log "all callers have finished"
wait_for "$JOBS_TIMEOUT_S" "the festival batch to end" job_state_in textos libreria festival "done" failed cancelled unknown
wait_for "$JOBS_TIMEOUT_S" "the gang to end" job_state_in textos libreria rehearsal "done" failed cancelled unknown
wait_for "$JOBS_TIMEOUT_S" "the billing run to end" job_state_in eierabo aarwil billing "done" failed cancelled unknown
wait_for "$JOBS_TIMEOUT_S" "the service to run" job_state_in textos libreria glossary running
log "the batch, the gang and the billing run have ended; the service runs"
for spec in "textos libreria" "eierabo aarwil"; do
	# shellcheck disable=SC2086
	ctl status jobs $spec
done
for key in festival rehearsal; do
	job_state_in textos libreria "$key" "done" || fail "job $key ended as $(job_state textos libreria "$key")"
done
# After the crash a task of the non-idempotent billing job may have an unknown outcome, but it must never run twice; the
# audit checks that.
job_state_in eierabo aarwil billing "done" unknown || fail "job billing ended as $(job_state eierabo aarwil billing)"
ctl cancel textos libreria glossary >"$OUT/cancel.log" 2>&1 || fail "the service could not be cancelled"
wait_for 30 "the service to end" job_state_in textos libreria glossary cancelled

for i in 1 2; do kill -TERM "${PIDS[daemon$i]}"; done
for i in 1 2; do
	if wait_exit "daemon$i" "$STOP_TIMEOUT_S"; then
		log "daemon$i exited with code $EXIT_CODE"
		((EXIT_CODE == 0)) || fail "daemon$i did not stop gracefully"
	else
		fail "daemon$i did not stop within $STOP_TIMEOUT_S s"
	fi
done

# --- outcomes and audit ----------------------------------------------------------------------------------------------
fetch "http://$CONTROL_ADDR/v1/audit" >"$OUT/audit.json" || abort "the audit could not be read"
echo
echo "key outcome code attempts runs"
while read -r key outcome rest; do
	runs=$(run_count "$key")
	runs=${runs:-0}
	echo "$key $outcome $rest $runs"
	case $outcome in
	"done") ((runs == 1)) || fail "request $key is done but ran $runs times" ;;
	not_run) ((runs == 0)) || fail "request $key was reported as not run but ran $runs times" ;;
	unknown) ((runs <= 1)) || fail "request $key ran $runs times" ;;
	*) fail "request $key got the response to another request" ;;
	esac
done <"$OUT/outcomes"
expected=$((2 + CALLER_COUNT * REQUESTS_PER_CALLER))
(($(wc -l <"$OUT/outcomes") == expected)) || fail "the number of outcomes is not $expected"
echo
awk '{n[$2]++} END {for (o in n) print n[o], "requests", o}' "$OUT/outcomes" | sort
if ! grep -q '"violations":\[\]' "$OUT/audit.json"; then
	fail "the audit lists violations: $(sed -n 's/.*"violations":\(\[.*\]\).*/\1/p' "$OUT/audit.json")"
fi
echo
if ((FAILURES > 0)); then
	log "$FAILURES checks failed; logs are in $OUT"
	exit 1
fi
log "all checks passed"
