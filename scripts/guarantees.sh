#!/usr/bin/env bash
# Runs the tests that docs/guarantees.md names as `package:TestName`, and fails if one of
# them fails or does not exist.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
page=docs/guarantees.md
names=$(grep -o '`internal/[a-z/]*:Test[A-Za-z0-9]*`' "$page" | tr -d '`' | sort -u)
[ -n "$names" ] || { echo "guarantees: no tests named in $page" >&2; exit 1; }
status=0
for package in $(cut -d: -f1 <<<"$names" | sort -u); do
  listed=$("$go" test -list . "./$package")
  tests=$(grep "^$package:" <<<"$names" | cut -d: -f2)
  for name in $tests; do
    if ! grep -qx "$name" <<<"$listed"; then
      echo "guarantees: $package has no test $name" >&2
      status=1
    fi
  done
  pattern="^($(paste -sd '|' <<<"$tests"))\$"
  "$go" test -race -count=1 -timeout 10m -v -run "$pattern" "./$package" | grep -E '^(---|FAIL|ok|panic)' || status=1
  [ "${PIPESTATUS[0]}" -eq 0 ] || status=1
done
exit "$status"
