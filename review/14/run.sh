#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/limpethook
standin=target/review-3/standin
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout --kill-after=5 118 "$standin" waiting "$program" "$dir" review/14/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
