#!/usr/bin/env bash
# Builds the stand-ins of the second review's script cases.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -o target/review-2 ./review/second
