#!/bin/sh
# Builds the stand-ins of the scripts in review/7 to review/10, from libraries that the build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
