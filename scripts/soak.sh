#!/usr/bin/env bash
# Repeats rounds of the property-based tests with a new seed, followed by the fault tests, until
# SOAK_SECONDS (600) have passed. Stops at the first failure and prints it, with the seed of a
# property-based test.
set -uo pipefail

BUILD=${BUILD:-build}
root=$(cd "$(dirname "$0")/.." && pwd)
seconds=${SOAK_SECONDS:-600}
runs=${SOAK_RUNS:-2000}
log=$BUILD/soak.log
end=$((SECONDS + seconds))
rounds=0

# A test is property-based when its source uses rapidcheck.
is_property() {
  local source=${1#"$BUILD"/tests/}
  grep -lqs rapidcheck "$root/tests/${source%.test}.cc"
}

properties=()
for test in "$@"; do
  if is_property "$test"; then properties+=("$test"); fi
done
[ "${#properties[@]}" -gt 0 ] || { echo "soak: no property-based tests"; exit 1; }

run_seed() {
  local test=$1 seed=$2
  if RC_PARAMS="seed=$seed max_success=$runs" timeout 1800 "$test" >"$log" 2>&1; then return 0; fi
  echo "soak: $test FAILED; reproduce with: RC_PARAMS=\"seed=$seed max_success=$runs\" $test"
  tail -n 40 "$log"
  return 1
}

while [ "$SECONDS" -lt "$end" ]; do
  seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
  echo "soak: round $((rounds + 1)), seed $seed"
  for test in "${properties[@]}"; do run_seed "$test" "$seed" || exit 1; done
  for script in "$root"/tests/fault/test_*.sh; do
    [ "$SECONDS" -lt "$end" ] || break
    timeout 600 bash "$script" >"$log" 2>&1 || { echo "soak: $script FAILED"; tail -n 40 "$log"; exit 1; }
  done
  rounds=$((rounds + 1))
done
echo "soak: $rounds rounds in $seconds s, no failure"
