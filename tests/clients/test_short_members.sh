#!/usr/bin/env bash
# Bodies of legal size that consist of very many short JSON members or steps. Guards against a decoder whose
# memory is a large multiple of the body.
set -euo pipefail
source "$(dirname "$0")/common.sh"

entry_growth_kb=12000
agent_growth_kb=32000

# repeat TEXT BYTES
repeat() { awk -v t="$1" -v n="$(($2 / ${#1}))" 'BEGIN { for (i = 0; i < n; i++) printf "%s", t }'; }

# send METHOD URL: sends the body in $dir/body and expects any answer.
send() {
  curl -s -m 30 -o /dev/null -H 'Host: h.example' -X "$1" --data-binary @"$dir/body" "$2" || fault "$2: no answer"
}

start_installation
members() { awk -v n="$(($1 / 10))" 'BEGIN { for (i = 0; i < n; i++) printf "\"%x\":{},", i }'; }
for element in '{},' '[],' '1,' '"",' members; do
  before=$(memory_kb "$entry")
  if [ "$element" = members ]; then
    { printf '{'; members 250000; printf '"spec":"x","steps":[]}'; } >"$dir/body"
  else
    { printf '{"spec":"x","steps":['; repeat "$element" 260000; printf '{}]}'; } >"$dir/body"
  fi
  send POST "http://$entry_ip:29161/p/00000000000000fe"
  check_bounds "$entry" "$before" "$entry_growth_kb" 200 "entry $element"
  before=$(memory_kb "$agent")
  if [ "$element" = members ]; then
    { printf '{'; members 1000000; printf '"seq":1}'; } >"$dir/body"
  else
    { printf '{"seq":1,"tasks":['; repeat "$element" 1000000; printf '{}]}'; } >"$dir/body"
  fi
  send PUT "http://$agent_ip:29166/instances/i-9"
  check_bounds "$agent" "$before" "$agent_growth_kb" 200 "agent $element"
done
check_job "after"
report_faults
