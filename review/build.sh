#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts into target/. The programs of the project are built by the command of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/go.work" go build -buildvcs=false -o target/review-drill ./review/drill
