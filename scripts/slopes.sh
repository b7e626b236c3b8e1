#!/usr/bin/env bash
# Measures, on one machine, the slopes from which docs/CAPACITY.md is computed: sizes of messages,
# fold, snapshot and tick in one process; then real agents (10 to 300) with two entries on loopback.
# Extrapolates to the target's size and compares each result with its budget. Lists the lines over
# budget and ends with "slopes: N of M lines within budget". Exits with 0 also when lines are over
# budget: docs/CAPACITY.md names the mechanism that would bring them within it.
set -uo pipefail
source "$(dirname "$0")/cluster.sh"

# Target deployment.
WORKERS=11000
DATA_CENTRES_TARGET=24
JOBS_A_DAY=190000
STARTS_A_S=8000
CONFIG_CHANGES_A_DAY=8000
SECONDS_A_DAY=86400
# Budgets per node.
BUDGET_CPU_PERCENT=3.5
BUDGET_MEMORY_MB=256
BUDGET_BYTES_A_S=6144
BUDGET_URGENT_MS=1100
BUDGET_CONFIG_MS=4000
BUDGET_APPENDS_A_S=300
# Further assumptions of the extrapolation.
ENTRIES_A_DATA_CENTRE=3
DOCUMENT_BYTES=65536
HEARTBEATS_A_S=2

# An instance starts only a few tasks per second, so many instances are needed to saturate an owner.
START_INSTANCES=80
START_TASKS=3200

SCALES=${SLOPES_AGENTS:-"10 100 300"}
MEASURE_S=${SLOPES_SECONDS:-8}
declare -A V=()

# calc EXPRESSION: prints the value of an arithmetic expression; [name] refers to a value in V.
calc() {
  local expression=$1 name
  for name in $(grep -o '\[[a-z0-9_.]*\]' <<<"$expression" | tr -d '[]' | sort -u); do
    expression=${expression//"[$name]"/${V[$name]:?"$name was not measured"}}
  done
  awk "BEGIN { printf \"%.3f\", $expression }"
}

set_value() {
  V[$1]=$2
  printf '%-34s %14s %s\n' "$1" "$2" "$3"
}

# CPU time of a process so far, in milliseconds.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/${PID[$1]}/stat"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${PID[$1]}/status"; }
sum_of() {
  local what=$1 total=0 name
  shift
  for name in "$@"; do total=$(awk -v a="$total" -v b="$($what "$name")" 'BEGIN { print a + b }'); done
  echo "$total"
}
wire_bytes() { echo $(($(metric "$1" acacia_wire_sent_bytes_total) + $(metric "$1" acacia_wire_received_bytes_total))); }

# Starts an agent without worker and endpoint, which sends only heartbeats.
start_bare_agent() {
  local file=$CLUSTER_DIR/agent-$1.toml
  cat >"$file" <<TOML
name = "agent-$1"
data_centre = "$(data_centre_of "$1")"
rack = "rack-$((($1 + 2) / 3))"
labels = ["group=g$1"]
entries = $(entry_list 0)
http.host = "127.0.0.1"
http.port = $(port_of "agent-$1")
capacity.cpu_milli = 16000
capacity.memory_mb = 61440
log.level = "warn"
TOML
  launch "agent-$1" "$BIN/acacia-agent" --config "$file"
}

stop_all() {
  local name
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null; done
  for name in "${!PID[@]}"; do wait "${PID[$name]}" 2>/dev/null; done
  PID=()
}

all_have() {
  local i
  for ((i = 1; i <= $2; i++)); do has_config "agent-$i" "$1" || return 1; done
}
live_agents() { [ "$(ctl --json status | jq .instances.live)" -ge "$1" ]; }
none_behind() { ctl --json status | jq -e '.instances.config_behind == 0' >/dev/null; }

# Publishes a configuration and sets SPREAD_MS to the time until all agents report it.
spread() {
  local start version
  start=$(now_ms)
  version=$(ctl --json apply "$CLUSTER_ROOT/examples/mezcla/document.toml" --note slopes | jq -r .version)
  wait_until 20 has_config entry-1 "$version" || fail "configuration at entry-1"
  wait_until 20 none_behind || fail "configuration at all agents"
  SPREAD_MS=$(($(now_ms) - start))
}

measure_agents() {
  local n=$1 i agents=() agent0 entry0 bytes0 entry_bytes0 start elapsed
  CLUSTER_ENTRIES=2
  start_log
  wait_until 10 is_listening log || fail "log"
  start_entry 1
  start_entry 2
  wait_until 20 is_ready entry-1 || fail "entry-1"
  wait_until 20 is_ready entry-2 || fail "entry-2"
  for ((i = 1; i <= n; i++)); do
    start_bare_agent "$i"
    agents+=("agent-$i")
  done
  wait_until 60 live_agents "$n" || fail "$n agents are not live"
  spread
  set_value "agents_$n.config" "$SPREAD_MS" ms
  start=$(now_ms)
  agent0=$(sum_of cpu_ms "${agents[@]}")
  entry0=$(cpu_ms entry-1)
  bytes0=$(wire_bytes agent-1)
  entry_bytes0=$(wire_bytes entry-1)
  sleep "$MEASURE_S"
  elapsed=$(($(now_ms) - start))
  set_value "agents_$n.agent_cpu" \
    "$(awk -v a="$(sum_of cpu_ms "${agents[@]}")" -v b="$agent0" -v n="$n" -v t="$elapsed" \
      'BEGIN { printf "%.3f", (a - b) / n / t * 100 }')" "percent of a core"
  set_value "agents_$n.entry_cpu" \
    "$(awk -v a="$(cpu_ms entry-1)" -v b="$entry0" -v t="$elapsed" \
      'BEGIN { printf "%.3f", (a - b) / t * 100 }')" "percent of a core"
  set_value "agents_$n.agent_payload" \
    $((($(wire_bytes agent-1) - bytes0) * 1000 / elapsed)) "bytes a second"
  set_value "agents_$n.entry_payload" \
    $((($(wire_bytes entry-1) - entry_bytes0) * 1000 / elapsed)) "bytes a second"
  set_value "agents_$n.agent_memory" "$(rss_kb agent-1)" kB
  set_value "agents_$n.entry_memory" "$(rss_kb entry-1)" kB
  stop_all
}

batch_document() {
  cat <<TOML
[job.many]
tasks = $START_TASKS
cpu_milli = 20
memory_mb = 10
run_ms = 500

[job.urgent]
tasks = 1
priority = "urgent"
cpu_milli = 100
memory_mb = 10
run_ms = 100

[policy]
starts_per_tick = 1000
TOML
}

job_is() { [ "$(ctl --json job "$1" | jq -r .state)" = "$2" ]; }
appends() { echo $(($(metric entry-1 acacia_commit_appends_total) + $(metric entry-2 acacia_commit_appends_total))); }

# Starts one log, two entries, and workers with agents but without endpoints.
start_batch_cluster() {
  local i
  CLUSTER_ENTRIES=2
  start_log
  wait_until 10 is_listening log || fail "log"
  start_entry 1
  start_entry 2
  wait_until 20 is_ready entry-1 || fail "entry-1"
  wait_until 20 is_ready entry-2 || fail "entry-2"
  for ((i = 1; i <= START_INSTANCES; i++)); do
    start_worker "$i"
    start_agent "$i"
  done
  wait_until 60 live_agents "$START_INSTANCES" || fail "$START_INSTANCES agents are not live"
}

# Measures starts and appends per second, and the time until urgent work runs.
measure_starts() {
  local start job before entry0 took worst i submitted=()
  start_batch_cluster
  batch_document >"$CLUSTER_DIR/batch.toml"
  ctl apply "$CLUSTER_DIR/batch.toml" >/dev/null || fail "apply"
  wait_until 10 none_behind || fail "configuration"
  before=$(appends)
  entry0=$(sum_of cpu_ms entry-1 entry-2)
  start=$(now_ms)
  job=$(ctl --json submit many | jq -r .job)
  wait_until 120 job_is "$job" done || fail "$START_TASKS tasks"
  took=$(($(now_ms) - start))
  set_value starts.rate "$(calc "$START_TASKS / $took * 1000")" "starts a second"
  set_value starts.appends "$(calc "($(appends) - $before) / $took * 1000")" "appends a second"
  set_value starts.entries_cpu \
    "$(calc "($(sum_of cpu_ms entry-1 entry-2) - $entry0) / $took * 100")" "percent of a core"
  for ((i = 0; i < 10; i++)); do
    start=$(now_ms)
    job=$(ctl --json submit urgent | jq -r .job)
    submitted+=("{\"job\":\"$job\",\"ms\":$start}")
    wait_until 10 job_is "$job" done || fail "urgent job"
  done
  worst=$(history | jq -s --argjson submitted "$(printf '%s\n' "${submitted[@]}" | jq -sc .)" \
    '[.[] as $run | $submitted[] | select(.job == $run.job) | $run.start_ms - .ms] | max')
  set_value urgent.worst "$worst" ms
  stop_all
}

LINES=0
WITHIN=0
OVER=()

# line NAME EXPRESSION BUDGET UNIT: compares the value at the target with its budget.
line() {
  local value verdict=within
  value=$(calc "$2")
  LINES=$((LINES + 1))
  if awk "BEGIN { exit !($value <= $3) }"; then
    WITHIN=$((WITHIN + 1))
  else
    verdict=over
    OVER+=("$1: $value $4, budget $3")
  fi
  printf '%-34s %14s %-18s budget %-10s %s\n' "$1" "$value" "$4" "$3" "$verdict"
}

compare() {
  local a=$((WORKERS / DATA_CENTRES_TARGET)) e=$ENTRIES_A_DATA_CENTRE d=$DATA_CENTRES_TARGET
  local top=${SCALES##* } low=${SCALES%% *} beat=$HEARTBEATS_A_S
  local span=$((top - low))
  local starts="($STARTS_A_S / $d)"
  line agent.bytes "$beat * $e * ([wire.announce_16] + [wire.lease])" "$BUDGET_BYTES_A_S" "bytes a second"
  line agent.cpu "[agents_$top.agent_cpu]" "$BUDGET_CPU_PERCENT" "% of a core"
  line agent.memory "[agents_$top.agent_memory] / 1024" "$BUDGET_MEMORY_MB" MB
  line router.bytes "$beat * $a * ([wire.announce_16] + [wire.lease])" "$BUDGET_BYTES_A_S" "bytes a second"
  line router.cpu "[agents_$low.entry_cpu] + ([agents_$top.entry_cpu] - [agents_$low.entry_cpu]) / $span * ($a - $low)" \
    "$BUDGET_CPU_PERCENT" "% of a core"
  line router.memory "([agents_$low.entry_memory] + ([agents_$top.entry_memory] - [agents_$low.entry_memory]) / $span * $a + $JOBS_A_DAY / $d * [fold.job_memory] / 1024) / 1024" \
    "$BUDGET_MEMORY_MB" MB
  line router.memory_all_regions "([agents_$top.entry_memory] + $JOBS_A_DAY * [fold.job_memory] / 1024) / 1024" \
    "$BUDGET_MEMORY_MB" MB
  line owner.tick_cpu "([tick.usage_cpu_460] * 10 + $starts * [tick.start_cpu_460]) / 10000" \
    "$BUDGET_CPU_PERCENT" "% of a core"
  line owner.tick_cpu_one_owner "([tick.usage_cpu_11000] * 10 + $STARTS_A_S * [tick.start_cpu_11000]) / 10000" \
    "$BUDGET_CPU_PERCENT" "% of a core"
  line owner.starts_cpu "[starts.entries_cpu] / [starts.rate] * $starts" \
    "$BUDGET_CPU_PERCENT" "% of a core"
  line owner.bytes "$starts * ([wire.command] + 2 * [wire.event])" "$BUDGET_BYTES_A_S" "bytes a second"
  line owner.starts_shortfall "$starts - [starts.rate]" 0 "starts a second"
  line urgent.start "[urgent.worst]" "$BUDGET_URGENT_MS" ms
  line config.spread "[agents_$top.config]" "$BUDGET_CONFIG_MS" ms
  line config.bytes "$CONFIG_CHANGES_A_DAY / $SECONDS_A_DAY * $DOCUMENT_BYTES" "$BUDGET_BYTES_A_S" "bytes a second"
  line log.appends "$d * [starts.appends]" "$BUDGET_APPENDS_A_S" "appends a second"
  line log.read_bytes "$STARTS_A_S * [fold.task_end_log] + $JOBS_A_DAY / $SECONDS_A_DAY * [fold.job_log]" \
    "$BUDGET_BYTES_A_S" "bytes a second"
  line log.fold_cpu "($STARTS_A_S * [fold.task_end_cpu] + $JOBS_A_DAY / $SECONDS_A_DAY * [fold.job_cpu]) / 10000" \
    "$BUDGET_CPU_PERCENT" "% of a core"
  line snapshot.load "$JOBS_A_DAY * [snapshot.job_load_cpu] / 1000" "$BUDGET_CONFIG_MS" ms
}

cluster_init mezcla
say "== one process: acacia-slopes"
while read -r name value unit; do set_value "$name" "$value" "$unit"; done < <("$BIN/acacia-slopes")
for n in $SCALES; do
  say "== $n agents, 2 entries"
  measure_agents "$n"
done
say "== starts"
measure_starts
say "== at the target: $WORKERS workers, $DATA_CENTRES_TARGET data centres, $ENTRIES_A_DATA_CENTRE entries each"
compare
for over in "${OVER[@]+"${OVER[@]}"}"; do say "over: $over"; done
say "slopes: $WITHIN of $LINES lines within budget"
