#!/bin/sh
# Measures the points that have a regression bound and checks them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/usher-bench ./bench
bin/usher-bench run --plan "${USHER_PLAN:-quick}" >bin/bench.jsonl
bin/usher-bench check bin/bench.jsonl
