#!/usr/bin/env bash
# Builds the programs of a commit from this repository's history, for runs of two builds side by side.
#   scripts/build-previous.sh COMMIT DIR     DIR lies below $BUILD; programs in DIR/bin, log in DIR/make.log
# Always a plain build, whatever SANITIZE or OPT the calling make was given. BUILD_JOBS (4) compilers run
# at once. Nothing is done if DIR already holds that commit.
set -euo pipefail

fail() {
  echo "build-previous: $*" >&2
  exit 1
}

[ $# -eq 2 ] || fail "usage: scripts/build-previous.sh COMMIT DIR"
commit=$1
build=$(realpath -m "${BUILD:-build}")
dir=$(realpath -m "$2")
root=$(cd "$(dirname "$0")/.." && pwd)
case "$dir" in
  "$build"/?*) ;;
  *) fail "$2 is not below the build folder $build" ;;
esac

git -C "$root" rev-parse --git-dir >/dev/null 2>&1 || fail "$root is not a git repository"
hash=$(git -C "$root" rev-parse --verify --quiet --end-of-options "$commit^{commit}") \
  || fail "commit $commit does not exist in this repository$(
    [ "$(git -C "$root" rev-parse --is-shallow-repository)" = true ] && echo ', a shallow clone')"
git -C "$root" merge-base --is-ancestor "$hash" HEAD \
  || fail "commit $commit is not in the history of HEAD"

if [ "$(cat "$dir/commit" 2>/dev/null)" = "$hash" ]; then
  echo "build-previous: $dir/bin already holds $hash"
  exit 0
fi
rm -rf "$dir"
mkdir -p "$dir/source"
git -C "$root" archive "$hash" | tar -x -C "$dir/source"
if ! env -u MAKEFLAGS -u MFLAGS -u MAKEOVERRIDES -u MAKELEVEL -u SANITIZE -u OPT \
  make -C "$dir/source" -j"${BUILD_JOBS:-4}" BUILD="$dir" programs >"$dir/make.log" 2>&1; then
  tail -n 20 "$dir/make.log" >&2
  fail "commit $hash does not build, see $dir/make.log"
fi
for program in acacia-scheduler acacia-worker; do
  [ -x "$dir/bin/$program" ] || fail "commit $hash has no program $program"
done
echo "$hash" >"$dir/commit"
echo "build-previous: $dir/bin holds $hash"
