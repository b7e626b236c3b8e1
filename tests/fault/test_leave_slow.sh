#!/usr/bin/env bash
# The owner of ten entries gets SIGTERM as the store turns slow, 176 ms for an append and 352 ms for an answer.
# Guards against claims that lose against the other entries' appends: nothing is scheduled then until the store is fast
# again.
set -euo pipefail
source "$(dirname "$0")/users.sh"

n_entries=10
service_ms=176
answer_ms=352
slow_s=9
# The release waits for the owner's append under way and for what is queued in the store, up to 2 s; the claim likewise.
# Each takes two appends of its own, and claims are spread over 375 ms.
handover_ms=$((2 * 2000 + 4 * (service_ms + answer_ms) + 375))
store=$net.0.40:29100
second_store=$net.0.40:29101

now_ms() {
  echo $(($(date +%s%N) / 1000000))
}

count_terms() {
  cat "$dir"/entry-*.log | grep -c "owner took_over" || true
}

start_store 2
start_entries "$n_entries"
[ "$(count_terms)" = 1 ] || fail "more than one entry became the owner"
owner=$(grep -l "owner took_over" "$dir"/entry-*.log | sed 's/.*entry-\([0-9]*\).log/\1/')

# Each other entry gets four submissions a second, from before the slow period until after it.
clients=()
for i in $(seq "$n_entries"); do
  [ "$i" != "$owner" ] || continue
  (
    for k in $(seq $(((slow_s + 1) * 4))); do
      submit_to "$i" "$(printf '%014x%02x' "$i" "$k")" >>"$dir/answers-$i.txt" &
      sleep 0.25
    done
    wait
  ) &
  clients+=($!)
done
sleep 1
curl -s -o /dev/null -X POST "http://$store/standin-pace?service_ms=$service_ms&answer_ms=$answer_ms" -d ''
began_ms=$(now_ms)
kill -TERM "${pids[$owner]}"
until [ "$(count_terms)" -ge 2 ] || [ $(($(now_ms) - began_ms)) -gt $((slow_s * 1000)) ]; do
  sleep 0.05
done
took_ms=$(($(now_ms) - began_ms))
while [ $(($(now_ms) - began_ms)) -lt $((slow_s * 1000)) ]; do
  sleep 0.05
done
curl -s -o /dev/null -X POST "http://$store/standin-pace?service_ms=0&answer_ms=0" -d ''
wait "${clients[@]}"
sleep 1
terms=$(count_terms)
cat "$dir"/answers-*.txt >"$dir/answers.txt"
echo "next owner after $took_ms ms, terms $terms; answers: $(cut -d' ' -f2 "$dir/answers.txt" | sort | uniq -c | tr '\n' ' ')"
[ "$took_ms" -le "$handover_ms" ] || fail "no new owner within $handover_ms ms"
[ "$terms" = 2 ] || fail "the new owner was replaced"

# What was accepted is known, and what was refused is not.
survivor=$((owner == 1 ? 2 : 1))
for row in 200:200 503:410; do
  IFS=: read -r answer expected <<<"$row"
  grep " $answer\$" "$dir/answers.txt" | while read -r id _; do
    status=$(curl -s -m 4 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
      "http://$net.0.$((40 + survivor)):29161/p/$id")
    [ "$status" = "$expected" ] || fail "job $id was answered with $answer, and its state with $status"
  done
done
