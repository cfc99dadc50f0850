#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
