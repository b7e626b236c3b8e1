#!/usr/bin/env bash
# The fault soak, short: one seed that failed once and one that is always the same.
set -euo pipefail
cd "$(dirname "$0")/../.."

failed_once=$(sed -n 's/^\([0-9]\+\) .*/\1/p' tests/soak/seeds.txt | head -n 1)
SOAK_JOBS=2 SOAK_FAULT_S=12 scripts/fault-soak.sh 1 "$failed_once"
