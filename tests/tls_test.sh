#!/usr/bin/env bash
# Mutual TLS end to end: a publication over TLS is named by its certificate in
# the audit trail; a client without a certificate is not served.
# Usage: tls_test.sh BUILD_DIR
set -eu
BUILD=$(cd "$1" && pwd)
RUN=$(mktemp -d)
DAEMON=
cleanup() {
  [ -z "$DAEMON" ] || kill -TERM "$DAEMON" 2>/dev/null || true
  [ -z "$DAEMON" ] || wait "$DAEMON" || true
  rm -rf "$RUN"
}
trap cleanup EXIT
EXAMPLES=$(cd "$(dirname "$0")/../examples/services" && pwd)
cd "$RUN"

openssl req -x509 -newkey rsa:2048 -nodes -keyout ca.key -out ca.pem -days 2 \
  -subj "/CN=test-ca" 2>/dev/null
printf 'subjectAltName=DNS:buckthorngate' >ext
for name in node alice; do
  openssl req -newkey rsa:2048 -nodes -keyout "$name.key" -out "$name.csr" \
    -subj "/CN=$name" 2>/dev/null
  openssl x509 -req -in "$name.csr" -CA ca.pem -CAkey ca.key -CAcreateserial \
    -days 2 -out "$name.pem" -extfile ext 2>/dev/null
done

read -r -a PORTS <<<"$("$BUILD/tools/free_ports" 4)"
cat >settings.toml <<EOF
host = "h"
data_folder = "$RUN/data"
[listen]
control = "127.0.0.1:${PORTS[0]}"
callers = "127.0.0.1:${PORTS[1]}"
peers = "127.0.0.1:${PORTS[2]}"
admin = "127.0.0.1:${PORTS[3]}"
[tls]
ca = "$RUN/ca.pem"
cert = "$RUN/node.pem"
key = "$RUN/node.key"
server_name = "buckthorngate"
EOF
"$BUILD/src/buckthorngated" --settings settings.toml >daemon.log 2>&1 &
DAEMON=$!

SERVER="--server 127.0.0.1:${PORTS[0]}"
TOOL="$BUILD/src/buckthorngate $SERVER --tls-ca ca.pem --tls-cert alice.pem
  --tls-key alice.key --tls-server-name buckthorngate"
$TOOL publish "$EXAMPLES" --number 1 --wait --author mallory
$TOOL audit >audit.txt
grep -q 'alice published number 1' audit.txt
! grep -q mallory audit.txt
code=0
timeout 20 "$BUILD/src/buckthorngate" $SERVER --timeout 3 status 2>/dev/null ||
  code=$?
[ "$code" = 3 ]
echo "TLS: named by certificate, plain client refused"
