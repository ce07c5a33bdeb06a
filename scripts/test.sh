#!/usr/bin/env bash
# Runs all tests with the race detector, passing over the entries of KNOWN-RED.txt.
# A line there that starts with "test: " gives the name of one failing test.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
args=()
if [ -n "$known" ]; then
  args+=(-skip "^(${known})\$")
fi
exec "${GO:-go}" test -race -timeout 10m "${args[@]}" ./...
