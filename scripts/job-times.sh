#!/usr/bin/env bash
# Prints where the time of jobs went, from the decision lines of all programs of an installation.
#
#   scripts/job-times.sh LOG ...
#
# Three tables: percentiles of each stage of a job by queue, in ms; what tasks waited for, in task seconds; how runs
# ended and why they were stopped. Columns before the time of a line are ignored.
# Exit codes: 0 printed, 1 no decision lines, 2 wrong usage.
set -euo pipefail

if [ $# -eq 0 ] || [ "$1" = -h ] || [ "$1" = --help ]; then
  sed -n '2,8p' "$0" | sed 's/^# \{0,1\}//'
  exit 2
fi

rows=$(mktemp)
trap 'rm -f "$rows"' EXIT

# Writes "T queue stage ms" for stages, "W kind reason ms" for waits, "E how" and "S reason" for runs.
cat "$@" | awk '
  function stage(job, name, ms) {
    if (ms >= 0)
      print "T", job in queue ? queue[job] : "unknown", name, ms
  }
  {
    at = 0
    for (i = 1; i <= NF && i <= 4 && !at; i++)
      if ($i ~ /^[0-9][0-9]:[0-9][0-9]:[0-9][0-9]\.[0-9]+$/)
        at = i
    if (!at)
      next
    split($at, clock, ":")
    ms = (clock[1] * 3600 + clock[2] * 60 + clock[3]) * 1000
    what = $(at + 1) " " $(at + 2)
    split("", value)
    for (i = at + 3; i <= NF; i++) {
      eq = index($i, "=")
      if (eq)
        value[substr($i, 1, eq - 1)] = substr($i, eq + 1)
    }
    job = value["job"]
    run = value["task"] " " value["run"]
  }
  what == "front accepted" {
    queue[job] = value["queue"]
    accepted[job] = ms
    stage(job, "1_accept", value["took_ms"])
  }
  what == "sched start" {
    started[run] = ms
    step = substr(value["task"], 1, match(value["task"], /\.[0-9]+$/) - 1)
    if (!(job in begun)) {
      begun[job] = ms
      if (job in accepted)
        stage(job, "2_first_start", ms - accepted[job])
    }
    if (!(step in step_begun))
      step_begun[step] = ms
    step_last[step] = ms
  }
  what == "agent start" && run in started { stage(substr(run, 1, 16), "3_order", ms - started[run]) }
  what == "sched end" {
    print "E", value["how"]
    if (value["how"] == "done" && run in started)
      stage(job, "4_run", ms - started[run])
    last_end[job] = ms
  }
  what == "sched stop" { print "S", value["reason"] }
  what == "sched job_ended" {
    if (job in begun)
      stage(job, "6_begin_to_end", ms - begun[job])
    if (job in accepted)
      stage(job, "7_accept_to_end", ms - accepted[job])
  }
  what == "sched waited" {
    for (name in value)
      if (name ~ /_ms$/ && value[name] > 0)
        print "W", value["kind"], substr(name, 1, length(name) - 3), value[name]
  }
  END {
    for (step in step_begun)
      stage(substr(step, 1, 16), "5_first_to_last_start", step_last[step] - step_begun[step])
  }' >"$rows"

[ -s "$rows" ] || {
  echo "job-times: no decision lines in $*" >&2
  exit 1
}

printf '%-20s %-22s %7s %9s %9s %9s %9s\n' queue stage n p50 p90 p99 max
grep '^T' "$rows" | sort -k2,2 -k3,3 -k4,4n | awk '
  function flush(  i) {
    if (n)
      printf "%-20s %-22s %7d %9.0f %9.0f %9.0f %9.0f\n", queue, substr(stage, 3), n, v[int((n - 1) * 0.5) + 1],
             v[int((n - 1) * 0.9) + 1], v[int((n - 1) * 0.99) + 1], v[n]
    n = 0
  }
  $2 != queue || $3 != stage { flush(); queue = $2; stage = $3 }
  { v[++n] = $4 }
  END { flush() }' || true
printf '\n%-14s %-14s %12s\n' tasks "waited for" "task s"
{ grep '^W' "$rows" || true; } | awk '{ s[$2 " " $3] += $4 } END { for (k in s) { split(k, a, " "); printf "%-14s %-14s %12.1f\n", a[1], a[2], s[k] / 1000 } }' | sort
printf '\n%-14s %12s\n' "run ended" runs
{ grep '^E' "$rows" || true; } | awk '{ s[$2]++ } END { for (k in s) printf "%-14s %12d\n", k, s[k] }' | sort
printf '\n%-20s %6s\n' "stopped for" runs
{ grep '^S' "$rows" || true; } | awk '{ s[$2]++ } END { for (k in s) printf "%-20s %6d\n", k, s[k] }' | sort
