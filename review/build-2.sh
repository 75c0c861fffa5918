#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-bed-2 ./review/bed-2
