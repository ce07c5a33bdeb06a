#!/usr/bin/env bash
# Runs all tests with the race detector, except for the known failing tests, which
# KNOWN-RED.txt lists in lines of the form "test: TestName". Packages whose tests use the
# real clock together with sockets or processes run last and one at a time, because other
# tests that keep the machine busy can make them fail.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
known=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
args=(-race -timeout 15m)
if [ -n "$known" ]; then
  args+=(-skip "^(${known})\$")
fi
real_clock='/internal/(systemtest|transport/(bfgossip|bfnode|bfrpc|bfcapacity|bfentry|bfcontrol|bfgateway|bfupstream|bflistener)|coordination/bfreplica)$'
mapfile -t all < <("$go" list ./...)
parallel=() real=()
for package in "${all[@]}"; do
  if [[ $package =~ $real_clock ]]; then real+=("$package"); else parallel+=("$package"); fi
done
"$go" test "${args[@]}" "${parallel[@]}"
"$go" test "${args[@]}" -p 1 "${real[@]}"
