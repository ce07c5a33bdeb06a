#!/usr/bin/env bash
# Starts the system on loopback addresses and runs load against it.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin/briarferry
pids=()
dir=$(mktemp -d)
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

"$bin" serve --name vm1 --region Recife --failure-domain recife-a \
  --http 127.0.0.1:17001 --config examples/mantas.config.json >"$dir/vm1.log" 2>&1 &
pids+=($!)
"$bin" standin --config examples/mantas.config.json --entries 127.0.0.1:17001 >"$dir/standin.log" 2>&1 &
pids+=($!)
sleep 2
"$bin" load --entries 127.0.0.1:17001 --flows examples/mantas.flows.json \
  --standin 127.0.0.1:20999 --for 10s
