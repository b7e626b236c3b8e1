#!/usr/bin/env bash
# Short fault soak in which entries and agents are rolled between the production build and this one, once
# each way.
set -euo pipefail
cd "$(dirname "$0")/../.."

export BUILD=${BUILD:-build}
production=$(sed -n 's/^production *= *"\([^"]*\)".*/\1/p' deploy/system.toml)
production=${production:-ef9597ce52c08280fd0f5086c966c900456cb52a}
previous=$BUILD/previous/$production
scripts/build-previous.sh "$production" "$previous"
SOAK_JOBS=2 SOAK_FAULT_S=12 SOAK_PREVIOUS=$previous/bin scripts/fault-soak.sh 11 12
