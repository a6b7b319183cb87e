#!/usr/bin/env bash
# Builds the programs that the scripts of the review start beside the product's own. They hold all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
  if [ -f "${folder}main.go" ]; then
    go build -ldflags=-linkmode=external -o "target/review/$(basename "$folder")" "./$folder"
  fi
done
