#!/usr/bin/env bash
# Ten entries accept jobs while the store takes 176 ms for an append and 352 ms for an answer, 88 times as long as usual.
# Guards against entries that each append on their own and repeat what is still queued in the store: nothing is
# acknowledged then, callers get 504, and an owner that works is replaced.
set -euo pipefail
source "$(dirname "$0")/users.sh"

n_entries=10
slow_s=6
store=$net.0.40:29100
second_store=$net.0.40:29101

start_store 2
start_entries "$n_entries"

# Each entry gets four submissions a second, from before the slow period until after it.
curl -s -o /dev/null -X POST "http://$store/standin-pace?service_ms=176&answer_ms=352" -d ''
clients=()
for i in $(seq "$n_entries"); do
  (
    for k in $(seq $((slow_s * 4))); do
      submit_to "$i" "$(printf '%014x%02x' "$i" "$k")" >>"$dir/answers-$i.txt" &
      sleep 0.25
    done
    wait
  ) &
  clients+=($!)
done
sleep "$slow_s"
curl -s -o /dev/null -X POST "http://$store/standin-pace?service_ms=0&answer_ms=0" -d ''
wait "${clients[@]}"
cat "$dir"/answers-*.txt >"$dir/answers.txt"

asked=$((n_entries * slow_s * 4))
accepted=$(grep -c ' 200$' "$dir/answers.txt" || true)
refused=$(grep -c ' 503$' "$dir/answers.txt" || true)
in_doubt=$((asked - accepted - refused))
terms=$(cat "$dir"/entry-*.log | grep -c "owner took_over" || true)
echo "of $asked submissions: $accepted accepted, $refused refused, $in_doubt in doubt; terms of owners: $terms"
[ "$((accepted * 100))" -ge $((asked * 80)) ] || fail "under 80 % were accepted"
[ "$((in_doubt * 100))" -lt "$asked" ] || fail "1 % or more are in doubt"
[ "$terms" = 1 ] || fail "the owner was replaced"

# What was accepted is known at every entry, and what was refused at none.
sleep 2
for row in accepted:200:200 refused:503:410; do
  IFS=: read -r kind answer expected <<<"$row"
  grep " $answer\$" "$dir/answers.txt" | while read -r id _; do
    status=$(curl -s -m 4 -o /dev/null -w '%{http_code}' -H 'Host: h.example' "http://$net.0.41:29161/p/$id")
    [ "$status" = "$expected" ] || fail "job $id was $kind, and its state is answered with $status"
  done
done
