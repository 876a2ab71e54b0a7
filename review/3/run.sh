#!/bin/bash
# Runs the case once; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/celerynode" ] && [ -x ../bin/harness ] || { echo "build deploy/system.toml and review/build.sh first" >&2; exit 2; }
ROOT=$root RECORD=$PWD/record.txt exec ../bin/harness leave
