#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2. They use the
# standard library only.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -trimpath -o ../../target/review-2/rig .
