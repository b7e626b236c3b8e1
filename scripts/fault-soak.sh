#!/usr/bin/env bash
# Runs the fault soak (tests/soak) with several seeds in parallel; exits 1 if any run fails.
#   scripts/fault-soak.sh [SEED...]     without seeds: SOAK_COUNT (50) random ones
# SOAK_JOBS (4) seeds run at once, each with a fault phase of SOAK_FAULT_S (20) seconds; SOAK_ARGS is passed
# to acacia-soak. With SOAK_PREVIOUS=DIR, programs of an older build (scripts/build-previous.sh), odd seeds
# roll from it to the newer build and even seeds back to it. Logs of failed seeds are kept in $BUILD/soak/SEED.
set -uo pipefail

BUILD=${BUILD:-build}
jobs=${SOAK_JOBS:-4}
count=${SOAK_COUNT:-50}
export BUILD SOAK_FAULT_S=${SOAK_FAULT_S:-20} SOAK_ARGS=${SOAK_ARGS:-} SOAK_PREVIOUS=${SOAK_PREVIOUS:-}

# Soaks that run at the same time use different networks: ten slots each. The lock is released when the script and all
# that it started have ended.
[ "$jobs" -le 10 ] || { echo "SOAK_JOBS is at most 10" >&2; exit 2; }
for first_slot in 0 10 20; do
  exec {slot_lock}>"/tmp/acaciadale-soak-$first_slot.lock"
  flock -n "$slot_lock" && break
  exec {slot_lock}>&-
  first_slot=
done
[ -n "$first_slot" ] || { echo "three soaks are running" >&2; exit 1; }
export first_slot

run_seed() {
  local seed=$1 slot=$((first_slot + $2)) out=$BUILD/soak/$1
  local roll=()
  if [ -n "$SOAK_PREVIOUS" ]; then
    roll=(--previous "$SOAK_PREVIOUS")
    [ $((seed % 2)) -eq 1 ] || roll+=(--back)
  fi
  rm -rf "$out"
  mkdir -p "$out"
  # shellcheck disable=SC2086
  if "$BUILD/bin/acacia-soak" --seed "$seed" --slot "$slot" --seconds "$SOAK_FAULT_S" \
    --bin "$BUILD/bin" --out "$out" "${roll[@]}" $SOAK_ARGS; then
    rm -rf "$out"
    return 0
  fi
  echo "FAIL seed $seed, logs in $out"
  grep -m 5 BROKEN "$out/journal"
  return 1
}
export -f run_seed

if [ $# -gt 0 ]; then
  seeds=("$@")
else
  seeds=()
  for _ in $(seq "$count"); do
    seeds+=("$(($(od -An -N4 -tu4 /dev/urandom) & 0x7fffffff))")
  done
fi
failed=0
printf '%s\n' "${seeds[@]}" \
  | xargs -P "$jobs" --process-slot-var=SLOT -I{} bash -c 'run_seed "$1" "$SLOT"' _ {} || failed=1
echo "fault soak: ${#seeds[@]} seeds run, $([ "$failed" -eq 0 ] && echo no failure || echo FAILED)"
exit "$failed"
