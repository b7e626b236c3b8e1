#!/usr/bin/env bash
# Plays variants of the programs on the same days and seeds of the users' bench and prints paired differences.
#
#   scripts/pair-plays.sh -b BENCH -o FOLDER [-j PLAYS] [-s "SEED ..."] [-d "DAY ..."] [-w WHY] -v NAME=CHECKOUT ... SITE ...
#
# Each variant is a checkout of this repository; the first one is the reference. A play that stands in FOLDER already is
# not repeated, so an interrupted run goes on where it stopped. Needs no free ports: the bench emulates the network.
# Exit codes: 0 all plays ended, 1 a play gave no result, 2 wrong usage.
set -uo pipefail

usage() {
  sed -n '2,9p' "$0" | sed 's/^# \{0,1\}//'
  exit 2
}

bench= out= jobs=2 seeds="1 2 3 4 5 6 7 8 9 10" days="trouble-1 scale-1 trouble-2 scale-2 trouble-3" why="paired plays"
variants=()
while getopts b:o:j:s:d:w:v:h option; do
  case $option in
    b) bench=$OPTARG ;;
    o) out=$OPTARG ;;
    j) jobs=$OPTARG ;;
    s) seeds=$OPTARG ;;
    d) days=$OPTARG ;;
    w) why=$OPTARG ;;
    v) variants+=("$OPTARG") ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ -n "$bench" ] && [ -n "$out" ] && [ "${#variants[@]}" -gt 0 ] && [ $# -gt 0 ] || usage
mkdir -p "$out"

play() {
  local checkout=$1 site=$2 day=$3 seed=$4 file=$5
  [ -s "$file" ] && return 0
  (cd "$checkout" && "$bench" run "$site" "$day" --seed "$seed" --no-cpu --why "$why") >"$file.part" 2>&1
  grep -q "^$day " "$file.part" 2>/dev/null && mv "$file.part" "$file"
}
export -f play
export bench why

for variant in "${variants[@]}"; do
  (cd "${variant#*=}" && "$bench" build) >"$out/build-${variant%%=*}.log" 2>&1 || {
    echo "pair-plays: variant ${variant%%=*} does not build, see $out/build-${variant%%=*}.log" >&2
    exit 1
  }
done
# Variants in the innermost loop: what else the machine does meanwhile meets them alike.
for seed in $seeds; do
  for site in "$@"; do
    for day in $days; do
      for variant in "${variants[@]}"; do
        name=$(basename "$site" .toml)
        printf '%s\0' "${variant#*=}" "$site" "$day" "$seed" "$out/${variant%%=*}.$name.$day.$seed.txt"
      done
    done
  done
done | xargs -0 -n 5 -P "$jobs" bash -c 'play "$@"' _

names=$(for variant in "${variants[@]}"; do printf '%s ' "${variant%%=*}"; done)
for file in "$out"/*.txt; do
  base=$(basename "$file" .txt)
  IFS=. read -r variant site day seed <<<"$base"
  awk -v key="$variant $site $day $seed" -v day="$day" \
    '$1 == day && $4 + 0 == $4 && !seen { seen = 1; print key, $4, ($0 ~ /BROKEN/ ? 1 : 0) }' "$file"
done | awk -v names="$names" '
  function row(site, variant,   i, n, sum, squares, mean, deviation, worth, broken, value) {
    for (i in plays) {
      split(i, key, SUBSEP)
      if (key[1] != site || !((reference SUBSEP i) in worths) || !((variant SUBSEP i) in worths))
        continue
      value = worths[variant, i] - worths[reference, i]
      n++; sum += value; squares += value * value
      worth += worths[variant, i]; broken += breaks[variant, i]
    }
    if (n == 0)
      return
    mean = sum / n
    deviation = n > 1 ? sqrt((squares - n * mean * mean) / (n - 1)) : 0
    printf "%-24s %-12s %5d %8.4f %+9.4f %8.4f %7d\n", site, variant, n, worth / n, mean,
           1.96 * deviation / sqrt(n), broken
  }
  BEGIN { count = split(names, order, " "); reference = order[1] }
  { plays[$2, $3, $4] = 1; sites[$2] = 1; worths[$1, $2, $3, $4] = $5; breaks[$1, $2, $3, $4] = $6 }
  END {
    printf "%-24s %-12s %5s %8s %9s %8s %7s\n", "site", "variant", "pairs", "worth", "against", "+/-", "broken"
    for (site in sites)
      for (v = 1; v <= count; v++)
        row(site, order[v])
  }'
[ -z "$(find "$out" -name '*.part' -print -quit)" ]
