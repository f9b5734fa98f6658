#!/bin/sh
# Regenerates docs/CAPACITY.md from the committed records. To update the records first, run
# bin/usher-bench run --plan full >docs/data/bench.jsonl and describe the machine in docs/data/machine.md.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/usher-bench ./bench
bin/usher-bench capacity docs/data/bench.jsonl --notes docs/data/machine.md >bin/CAPACITY.md
mv bin/CAPACITY.md docs/CAPACITY.md
