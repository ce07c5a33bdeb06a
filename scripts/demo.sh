#!/usr/bin/env bash
# Starts seven VMs, three of them control VMs with data directories, and emulated backend
# servers on loopback addresses. Applies the example configuration and runs load in all
# three priority classes, while it drains a backend server and stops a VM. The last line
# of output is a JSON summary. Processes are stopped by their process IDs only.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=bin/briarferry
regions=(Recife Fortaleza Salvador)
domains=(recife-a fortaleza-a salvador-a recife-b fortaleza-b salvador-b recife-a)
dir=$(mktemp -d)
pids=()

cleanup() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "demo: $1" >&2
  tail -n 5 "$dir"/*.log >&2 || true
  exit 1
}

http() { echo "127.0.0.1:1710$1"; }
rpc() { echo "127.0.0.1:1720$1"; }
gossip() { echo "127.0.0.1:1730$1"; }
join() { local IFS=,; echo "$*"; }

entries=$(join "$(http 1)" "$(http 2)" "$(http 3)" "$(http 4)" "$(http 5)" "$(http 6)" "$(http 7)")
peers=$(join "$(gossip 1)" "$(gossip 2)" "$(gossip 3)" "$(gossip 4)" "$(gossip 5)" "$(gossip 6)" "$(gossip 7)")
control=$(join "vm1=$(rpc 1)" "vm2=$(rpc 2)" "vm3=$(rpc 3)")

"$bin" generate --answers examples/mantas.answers.json --out "$dir/config.json"
for i in 1 2 3 4 5 6 7; do
  data=()
  if [ "$i" -le 3 ]; then data=(--data "$dir/vm$i"); fi
  "$bin" serve --name "vm$i" --region "${regions[$(((i - 1) % 3))]}" --failure-domain "${domains[$((i - 1))]}" \
    --http "$(http "$i")" --rpc "$(rpc "$i")" --gossip "$(gossip "$i")" \
    --peers "$peers" --control "$control" "${data[@]}" >"$dir/vm$i.log" 2>&1 &
  pids+=($!)
done
"$bin" standin --config "$dir/config.json" --entries "$entries" >"$dir/standin.log" 2>&1 &
pids+=($!)

applied=
for _ in $(seq 20); do
  if "$bin" apply --entries "$entries" --answers examples/mantas.answers.json --yes >"$dir/apply.log" 2>&1; then
    applied=1
    break
  fi
  sleep 0.5
done
[ -n "$applied" ] || fail "the configuration was not accepted"
cat "$dir/apply.log"
sleep 2

"$bin" load --entries "$entries" --flows examples/mantas.flows.json --standin 127.0.0.1:20999 --for 10s --check >"$dir/load.out" 2>"$dir/load.log" &
load=$!
pids+=("$load")
sleep 2
"$bin" drain --entries "$entries" --kind backend_server --target 127.0.0.1:21000 || fail "the drain was refused"
kill -TERM "${pids[6]}"
echo "stopping vm7"
status=0
wait "$load" || status=$?
wait "${pids[6]}" || fail "vm7 did not exit with status 0"
"$bin" status --entries "$entries" || fail "the status could not be read"
cat "$dir/load.out"
exit "$status"
