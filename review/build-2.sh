#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 7 to 9 start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/program-2
