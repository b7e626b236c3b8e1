#!/usr/bin/env bash
# Writes the settings of a deployment: two entries, and one agent for each of the 11 workers.
#
#   examples/instances.sh mezcla|zinsverbund FOLDER
#
# All addresses are 127.0.0.1 with ports counted from BASE_PORT (default 20000). On real instances
# each process has its own address; data centre, rack and labels are the same as here.
set -euo pipefail

WORKERS=11
WORKERS_A_RACK=3
ENTRIES=2
base=${BASE_PORT:-20000}

usage() {
  echo "usage: $0 mezcla|zinsverbund FOLDER" >&2
  exit 2
}

[ $# -eq 2 ] || usage
case "$1" in
  mezcla)
    data_centres=(quito-norte quito-sur cuenca ambato)
    service=mixdesk
    label="disk=fast"
    ;;
  zinsverbund)
    data_centres=(wien-ost wien-west st-poelten salzburg)
    service=zinspost
    label="ledger=near"
    ;;
  *) usage ;;
esac
out=$2
mkdir -p "$out"

entry_peers() {
  local self=$1 list="" i
  for ((i = 1; i <= ENTRIES; i++)); do
    [ "$i" -eq "$self" ] || list+="${list:+, }\"entry-$i=tcp://127.0.0.1:$((base + 40 + i))\""
  done
  echo "[$list]"
}

for ((i = 1; i <= ENTRIES; i++)); do
  cat >"$out/entry-$i.toml" <<TOML
name = "entry-$i"
data_centre = "${data_centres[$(((i - 1) % 4))]}"
http.host = "127.0.0.1"
http.port = $((base + 30 + i))
wire.listen = "tcp://127.0.0.1:$((base + 40 + i))"
wire.peers = $(entry_peers "$i")
log.host = "127.0.0.1"
log.port = $base
TOML
done

# The first worker of each rack has the label that the document's first label rule selects.
for ((i = 1; i <= WORKERS; i++)); do
  rack=$(((i - 1) / WORKERS_A_RACK))
  labels="[]"
  [ $(((i - 1) % WORKERS_A_RACK)) -ne 0 ] || labels="[\"$label\"]"
  cat >"$out/agent-$i.toml" <<TOML
name = "agent-$i"
data_centre = "${data_centres[$rack]}"
rack = "rack-$((rack + 1))"
labels = $labels
entries = $(entry_peers 0)
http.host = "127.0.0.1"
http.port = $((base + 60 + i))
worker.host = "127.0.0.1"
worker.port = $((base + 10 + i))
endpoint.service = "$service"
endpoint.host = "127.0.0.1"
endpoint.port = $((base + 80 + i))
TOML
done
echo "$out: $ENTRIES entries, $WORKERS agents"
