#!/usr/bin/env bash
# Installs the Debian packages required by the build, the tests and the demo.
# Does nothing when all of them are installed.
set -euo pipefail

packages=(
  gcc g++ make pkg-config git curl jq
  clang clang-format clang-tidy libclang-rt-14-dev doxygen gnuplot-nox
  libglib2.0-dev libzmq3-dev liburcu-dev libmicrohttpd-dev
  libneon27-gnutls-dev libcurl4-gnutls-dev libargtable2-dev liblog4c-dev libcmocka-dev
  libtomlplusplus-dev librapidcheck-dev
  libprotobuf-c-dev protobuf-c-compiler libjansson-dev libxxhash-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

echo "deps: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
