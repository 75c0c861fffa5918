#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/ ./review/bed-3
