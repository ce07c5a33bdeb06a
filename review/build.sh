#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. The project's own programs are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
