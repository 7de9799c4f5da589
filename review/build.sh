#!/usr/bin/env bash
# Builds the stand-ins and the program of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/program
