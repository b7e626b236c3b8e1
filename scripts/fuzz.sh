#!/usr/bin/env bash
# Runs each libFuzzer target for FUZZ_SECONDS (60), starting from its committed corpus. New inputs are
# written below $BUILD; a crash is printed with the file that reproduces it.
set -euo pipefail

BUILD=${BUILD:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
seconds=${FUZZ_SECONDS:-60}
seed=${FUZZ_SEED:-$RANDOM}
status=0
# Without this, undefined behaviour is printed and the run goes on.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1

[ $# -gt 0 ] || { echo "fuzz: no targets"; exit 0; }
for target in "$@"; do
  name=$(basename "$target")
  found=$BUILD/fuzz/found/$name
  mkdir -p "$found"
  echo "fuzz: $name for $seconds s, seed $seed"
  if ! "$target" -max_total_time="$seconds" -seed="$seed" -rss_limit_mb=2048 -print_final_stats=0 \
    -artifact_prefix="$BUILD/fuzz/crash-$name-" "$found" \
    "$root/tests/fuzz/corpus/${name#fuzz_}" >"$BUILD/fuzz/$name.log" 2>&1; then
    status=1
    echo "fuzz: $name FAILED (seed $seed)"
    tail -n 30 "$BUILD/fuzz/$name.log"
  else
    tail -n 1 "$BUILD/fuzz/$name.log"
  fi
done
exit "$status"
