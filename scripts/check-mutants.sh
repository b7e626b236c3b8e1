#!/usr/bin/env bash
# Mutation test: disables each mechanism in a scratch copy and expects the test that covers it to fail.
#
# tests/mutants/mutants.txt has one mutant per line:
#   name | file | sed expression that disables the mechanism | test binary or script (folder/test_x)
# A mutant fails when its expression changes nothing, it does not build, or its test passes.
# With arguments, only the mutants with these names run.
set -uo pipefail
cd "$(dirname "$0")/.."

scratch=${BUILD:-build}/mutants
list=tests/mutants/mutants.txt
export RC_PARAMS=${RC_PARAMS:-seed=20261204}
killed=0
survived=0

trim() {
  sed 's/^[[:space:]]*//; s/[[:space:]]*$//' <<<"$1"
}

build_and_run() {
  local test=$1 status=0
  if [ -f "$scratch/tests/$test.sh" ]; then
    make -s -C "$scratch" -j8 all >"$scratch/build.log" 2>&1 || return 200
    (cd "$scratch" && BUILD=build timeout 300 bash "tests/$test.sh") >"$scratch/run.log" 2>&1 ||
      status=$?
  else
    local binary
    binary=build/tests/$test.$([ -f "$scratch/tests/$test.cc" ] && echo cc || echo c).test
    make -s -C "$scratch" -j8 "$binary" >"$scratch/build.log" 2>&1 || return 200
    (cd "$scratch" && timeout 300 "$binary") >"$scratch/run.log" 2>&1 || status=$?
  fi
  return "$status"
}

run_mutant() {
  local name=$1 file=$2 expression=$3 test=$4 status=0
  mkdir -p "$scratch"
  # The last mutant's file, which was restored, stays newer than its object: otherwise that would not be built again.
  git ls-files -z | tar --null -T - -cf - 2>/dev/null | tar -xf - --keep-newer-files -C "$scratch" 2>/dev/null
  cp "$scratch/$file" "$scratch/original"
  sed -i -E "$expression" "$scratch/$file"
  if cmp -s "$scratch/original" "$scratch/$file"; then
    echo "BAD      $name: the expression changes nothing in $file"
    return 1
  fi
  build_and_run "$test"
  status=$?
  cp "$scratch/original" "$scratch/$file"
  case "$status" in
    0) echo "SURVIVED $name: $test passes without the mechanism"; return 1 ;;
    200) echo "BAD      $name: does not build"; tail -n 5 "$scratch/build.log"; return 1 ;;
    *) echo "killed   $name by $test (exit $status)"; return 0 ;;
  esac
}

while IFS='|' read -r name file expression test; do
  name=$(trim "$name")
  case "$name" in '' | \#*) continue ;; esac
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qxF "$name"; then
    continue
  fi
  if run_mutant "$name" "$(trim "$file")" "$(trim "$expression")" "$(trim "$test")" </dev/null; then
    killed=$((killed + 1))
  else
    survived=$((survived + 1))
  fi
done <"$list"
echo "mutants: $killed killed, $survived not"
[ "$survived" -eq 0 ]
