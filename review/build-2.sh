#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start beside the product's own. They hold all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/review-2 ./review/second
go build -ldflags=-linkmode=external -o target/review/6 ./review/6
