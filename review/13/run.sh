#!/usr/bin/env bash
# Runs the case. See claim.txt; needs target/celerynode and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/celerynode ] && [ -x target/review-3 ] || exit 2
exec target/review-3 large review/13/record.txt
