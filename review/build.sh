#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/reviewcase
