#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
go build -trimpath -o ../../target/review-3 .
