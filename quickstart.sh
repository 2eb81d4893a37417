#!/usr/bin/env bash
# Builds the project, runs two instances with stand-ins of the platform and of
# two backend servers on loopback, and serves requests through both instances.
# With the word "stay" everything keeps running until Enter is pressed.
set -euo pipefail
cd "$(dirname "$0")"
./build.sh build

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  "$@" >"$work/out" 2>>"$work/log" &
  pids+=($!)
}

cp examples/*.settings.json "$work"
printf 'a-secret-for-the-quick-start-only\n' >"$work/fleet-secret"
./build/medlarctl split examples/small-site.json "$work/platform"
cat >"$work/platform/instances" <<'LIST'
{"version": 1, "instances": [
  {"name": "entry-1", "address": "127.0.0.1", "peer_port": 7001,
   "data_centre": "suva", "region": "viti-levu", "leaving": false},
  {"name": "entry-2", "address": "127.0.0.1", "peer_port": 7002,
   "data_centre": "suva", "region": "viti-levu", "leaving": false}
]}
LIST

start ./build/standin_server --name log-1 --port 9001 --slots 2
start ./build/standin_server --name log-2 --port 9002 --slots 2
start ./build/standin_platform --port 6000 --folder "$work/platform"
root=$PWD
for number in 1 2; do
  (cd "$work" && exec "$root/build/medlard" "entry-$number.settings.json" \
    >>out 2>>log) &
  pids+=($!)
done

# A new fleet serves keyed requests once the leases of a possible earlier fleet
# have ended, about ten seconds after its start.
echo 'waiting for the fleet to serve a keyed request'
for _ in $(seq 1 300); do
  if curl -fsS -o /dev/null -H 'Authorization: Bearer example-key-shop' \
    http://127.0.0.1:8081/salinity/today 2>/dev/null; then
    ready=1
    break
  fi
  sleep 0.1
done
if [ -z "${ready:-}" ]; then
  echo 'the fleet did not become ready; its log:'
  cat "$work/log"
  exit 1
fi
for port in 8081 8082; do
  curl -fsS -i --retry 5 -H 'Authorization: Bearer example-key-shop' \
    "http://127.0.0.1:$port/salinity/today"
  echo
done
echo 'a wrong key is refused:'
curl -sS -i -H 'Authorization: Bearer wrong' \
  http://127.0.0.1:8081/salinity/today
echo
./build/medlarctl status --from 127.0.0.1:9101
if [ "${1:-}" = stay ]; then
  read -r -p 'running; press Enter to stop '
fi
