#!/usr/bin/env bash
# Starts a local mesh of separate processes on loopback: one source, one relay,
# three proxies and two stand-in upstreams; publishes examples/services and
# sends a few calls. Usage: local_mesh.sh [BUILD_DIR] [--once]
set -eu
cd "$(dirname "$0")/.."
BUILD=${1:-build}
ONCE=${2:-}
RUN=$(mktemp -d)
PIDS=()

stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$RUN"
}
trap stop_all EXIT

free_ports() {
  "$BUILD/tools/free_ports" "$1"
}

read -r -a PORTS <<<"$(free_ports 20)"
port() { echo "127.0.0.1:${PORTS[$1]}"; }

write_settings() {  # name, roles, first port index, extra lines
  cat >"$RUN/$1.toml" <<EOF
host = "$1"
zone = "zone-a"
roles = [$2]
data_folder = "$RUN/$1"
source_id = "source-1"
relay_id = "relay-1"
[listen]
control = "$(port "$3")"
callers = "$(port $(($3 + 1)))"
peers = "$(port $(($3 + 2)))"
admin = "$(port $(($3 + 3)))"
[sources]
source-1 = "$(port 0)"
[relays]
relay-1 = { address = "$(port 4)", zone = "zone-a" }
EOF
}

start() {  # program and arguments; the last word names the log
  local log=${!#}
  "${@:1:$#-1}" >"$RUN/$log.log" 2>&1 &
  PIDS+=($!)
}

write_settings source-host '"source"' 0
write_settings relay-host '"relay"' 4
for i in 1 2 3; do write_settings "proxy-$i" '"proxy"' $((4 + 4 * i)); done
for name in source-host relay-host proxy-1 proxy-2 proxy-3; do
  start "$BUILD/src/buckthorngated" --settings "$RUN/$name.toml" "$name"
done
start "$BUILD/tools/stand_in_upstream" --service catalogue \
  --admin "$(port 11)" upstream-catalogue
start "$BUILD/tools/stand_in_upstream" --service orders \
  --admin "$(port 15)" upstream-orders

TOOL="$BUILD/src/buckthorngate --server $(port 0)"
echo "== publish examples/services"
$TOOL publish examples/services --number 1 --wait --author example
for _ in $(seq 50); do
  [ "$($TOOL endpoints --server "$(port 4)" | grep -c ready)" = 2 ] && break
  sleep 0.1
done
echo "== endpoints"
$TOOL endpoints --server "$(port 4)"
echo "== calls, to each of the three proxies"
FAILED=0
for i in 9 13 17; do
  curl -sS --max-time 5 "http://$(port $i)/catalogue/fabrics" || FAILED=1
  curl -sS --max-time 5 "http://$(port $i)/orders/7" || FAILED=1
done
echo "== a payment, sent twice with one key"
for i in 9 13; do
  for _ in $(seq 40); do
    ANSWER=$(curl -sS --max-time 5 -w ' [%{http_code}]' -H 'Idempotency-Key: k1' \
      -d 'amount=5' "http://$(port $i)/orders/pay")
    case "$ANSWER" in *'[503]') sleep 0.2 ;; *) break ;; esac
  done
  echo "$ANSWER"
done
echo "== audit trail"
$TOOL audit
[ "$FAILED" = 0 ] || { echo "a call failed"; exit 1; }
[ "$ONCE" = --once ] && exit 0
echo
echo "The mesh runs. Try: curl http://$(port 9)/catalogue/anything"
echo "                    $TOOL status"
echo "Press Ctrl-C to stop it; its logs are in $RUN."
wait
