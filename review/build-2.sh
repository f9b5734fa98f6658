#!/usr/bin/env bash
# Builds the program that runs the cases of the second review, with its stand-ins, after the build of deploy/system.toml. Run it in the
# repository's root or anywhere else.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/cases2/go.work go build -buildvcs=false -o target/usher-review2 ./review/cases2
