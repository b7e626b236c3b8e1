#!/usr/bin/env bash
# Builds every stand-in that a script of review/ starts, into review/bin. Run it from anywhere; the
# programs themselves come from the build of the deploy file (target/bin).
set -euo pipefail
cd "$(dirname "$0")/.."

make -j8 BUILD=target/review target/review/libacacia.a target/review/bin/standin-store
mkdir -p review/bin
cp target/review/bin/standin-store review/bin/
packages="glib-2.0 libzmq libmicrohttpd jansson libcurl libprotobuf-c libxxhash liburcu"
for source in review/standin/*.c; do
  # shellcheck disable=SC2046
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ilib -I. $(pkg-config --cflags $packages) \
    -o "review/bin/$(basename "$source" .c)" "$source" target/review/libacacia.a \
    $(pkg-config --libs $packages) -llog4c -lm -lpthread
done
