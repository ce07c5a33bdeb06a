#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs nothing but the
# checkout and Go.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-2 ./review/standin-2
