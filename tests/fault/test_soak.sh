#!/usr/bin/env bash
# Short fault soak with two seeds: a fixed one and the first of tests/soak/seeds.txt, which has failed.
set -euo pipefail
cd "$(dirname "$0")/../.."

regression_seed=$(sed -n 's/^\([0-9]\+\) .*/\1/p' tests/soak/seeds.txt | head -n 1)
SOAK_JOBS=2 SOAK_FAULT_S=12 scripts/fault-soak.sh 1 "$regression_seed"
