#!/bin/sh
# Builds the stand-ins that the cases of the second review start. It needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target && exec go build -o target/review-harness2 ./review/harness2
