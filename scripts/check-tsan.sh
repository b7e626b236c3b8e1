#!/usr/bin/env bash
# Runs the test binaries under ThreadSanitizer.
#
# Skips the tests named in tests/tsan-skip.txt, one per line with the reason. The locking inside
# liburcu and ZeroMQ is not instrumented, so tests/tsan.supp suppresses reports with their frames.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=$(sed -e '/^#/d' -e '/^[[:space:]]*$/d' tests/tsan-skip.txt | cut -d' ' -f1)
tests=()
for source in tests/*/test_*.c; do
  name=${source#tests/}
  if ! grep -qxF "${name%.c}" <<<"$skip"; then
    tests+=("build/tsan/tests/$name.test")
  fi
done
# GLib's slice allocator passes memory between threads in a way that the sanitizer does not see.
export G_SLICE=always-malloc
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp halt_on_error=1"
make -j8 BUILD=build/tsan OPT="-O1 -g" SANITIZE="-fsanitize=thread" "${tests[@]}" >/dev/null
BUILD=build/tsan TEST_JOBS=4 scripts/run-tests.sh "${tests[@]}"
