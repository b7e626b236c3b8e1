#!/usr/bin/env bash
# Runs each libFuzzer target once over its committed corpus, in a fixed order.
set -euo pipefail
cd "$(dirname "$0")/.."

# Without this, undefined behaviour is printed and the run goes on.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
targets=(tests/fuzz/fuzz_*.c)
if [ ! -e "${targets[0]}" ]; then
  echo "fuzz corpus: no targets found"
  exit 0
fi
for source in "${targets[@]}"; do
  name=$(basename "$source" .c)
  make -j8 "build/fuzz/$name" >/dev/null
  "build/fuzz/$name" -runs=0 "tests/fuzz/corpus/${name#fuzz_}" 2>&1 | tail -n 1
  echo "fuzz corpus: $name passed"
done
