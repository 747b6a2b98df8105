#!/usr/bin/env bash
# Builds what the cases that are scripts start: the product's program, which has its stand-ins in it, and the
# program that plays the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/reviewer ./review/reviewer
