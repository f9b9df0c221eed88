#!/usr/bin/env bash
# Measures how costs grow with size, for docs/CAPACITY.md; prints a table and writes .build/capacity.json.
set -euo pipefail
cd "$(dirname "$0")/.."
out=.build/capacity.txt
: >"$out"
measure() { go test -run '^$' "$@" | grep '^Benchmark' | tee -a "$out"; }
measure -bench 'Blocks' ./lib/pkg/cidr
measure -bench 'Change' ./lib/pkg/store
measure -bench 'Beats|Centres|Live' ./lib/pkg/member
measure -bench 'Records' ./entryd/pkg/dedup
measure -bench 'Directory' ./entryd/pkg/owner
measure -bench 'Spread|Lookup' -benchtime 1x -timeout 10m ./standin/pkg/fleet
awk 'BEGIN { print "[" }
  { printf "%s  {\"name\":\"%s\",\"runs\":%s", (NR > 1 ? ",\n" : ""), $1, $2
    for (i = 3; i < NF; i += 2) printf ",\"%s\":%s", $(i + 1), $i
    printf "}" }
  END { print "\n]" }' "$out" >.build/capacity.json
printf 'written: .build/capacity.json\n'
