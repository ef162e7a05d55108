#!/bin/sh
# Builds the stand-ins that the scripts of the review start, from libraries that the build of the deploy file has fetched.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
build="cargo build --release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review"
$build --offline || $build
