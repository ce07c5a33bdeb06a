#!/usr/bin/env bash
# Starts the system on loopback addresses and runs load against it.
set -euo pipefail
echo "demo: no processes to start yet" >&2
exit 1
