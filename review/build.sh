#!/bin/bash
# Builds the stand-ins of all scripts into review/bin. It needs no network.
set -e
cd "$(dirname "$0")/harness"
go build -o ../bin/harness .
