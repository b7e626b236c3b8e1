#!/usr/bin/env bash
# Runs clang-tidy on the given C files in parallel; fails on any finding.
set -euo pipefail

packages="glib-2.0 libzmq liburcu libmicrohttpd neon argtable2 libprotobuf-c jansson libxxhash libcurl"
# shellcheck disable=SC2086
LINT_FLAGS="-std=gnu11 -D_GNU_SOURCE -Ilib -I. -Itests $(pkg-config --cflags $packages)"
export LINT_FLAGS

status=0
printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} \
  sh -c 'clang-tidy --quiet "$1" -- $LINT_FLAGS 2>/dev/null' _ {} || status=1
if [ "$status" -ne 0 ]; then
  echo "lint: findings above" >&2
  exit 1
fi
echo "lint: $# files clean"
