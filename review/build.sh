#!/usr/bin/env bash
# Builds the program that plays the cases which are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewer ./review/reviewer
