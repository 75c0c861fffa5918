#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.go; do
  [ -f "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  go build -tags review -ldflags=-linkmode=external -o "target/review/case-$n" "./review/$n"
done
