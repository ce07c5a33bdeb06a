#!/usr/bin/env bash
# Runs all tests with the race detector, passing over the entries of KNOWN-RED.txt.
# A line there that starts with "test: " gives the name of one failing test.
# Packages whose tests run on the real clock with sockets or processes come last and
# one at a time, since a machine that is busy with other tests would disturb them.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
known=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
args=(-race -timeout 15m)
if [ -n "$known" ]; then
  args+=(-skip "^(${known})\$")
fi
real_clock='/internal/(systemtest|transport/(bfgossip|bfnode|bfrpc|bfcapacity|bfentry|bfcontrol|bfgateway)|coordination/bfreplica)$'
mapfile -t all < <("$go" list ./...)
paused=() real=()
for package in "${all[@]}"; do
  if [[ $package =~ $real_clock ]]; then real+=("$package"); else paused+=("$package"); fi
done
"$go" test "${args[@]}" "${paused[@]}"
"$go" test "${args[@]}" -p 1 "${real[@]}"
