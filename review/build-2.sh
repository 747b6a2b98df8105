#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, all in one program. It runs after the build
# of the deploy file, which has fetched the modules, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/_cases
