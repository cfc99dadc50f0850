#!/bin/bash
# Builds the stand-ins of the cases of REPORT-3.md that are scripts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin3 ./review/_standin3
