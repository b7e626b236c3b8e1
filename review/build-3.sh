#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3: a store and runners. Needs the library and
# the packages of the build of the deploy file, and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
pkgs="glib-2.0 libzmq liburcu libmicrohttpd neon argtable2 libprotobuf-c jansson libxxhash libcurl"
out=target/review-3
mkdir -p "$out"

# build NAME SOURCE
build() {
  # shellcheck disable=SC2046,SC2086
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ilib -I. -Itests $(pkg-config --cflags $pkgs) \
    -c -o "$out/$1.o" "$2"
  # shellcheck disable=SC2046,SC2086
  g++ -o "$out/$1" "$out/$1.o" target/libacacia.a $(pkg-config --libs $pkgs) -llog4c -lm -lpthread
  echo "built $out/$1"
}

make -s -j8 BUILD=target target/libacacia.a
build standin-store review/standin-3/store.c
build standin-runner review/standin-3/runner.c
