#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/, the project's own among them.
set -euo pipefail
cd "$(dirname "$0")/.."

make -j"$(nproc)" BUILD=build build/bin/standin-store build/libacacia.a
out=build/review-2
mkdir -p "$out"
cp build/bin/standin-store "$out/"
packages=(glib-2.0 libzmq liburcu libmicrohttpd neon argtable2 libprotobuf-c jansson libxxhash libcurl)
read -ra cflags < <(pkg-config --cflags "${packages[@]}")
read -ra libs < <(pkg-config --libs "${packages[@]}")
for name in runner silencer; do
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ilib -I. "${cflags[@]}" -c -o "$out/$name.o" \
    "review/standin-2/$name.c"
  g++ -o "$out/review-$name" "$out/$name.o" build/libacacia.a "${libs[@]}" -llog4c -lm -lpthread
done
