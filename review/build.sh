#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR="$PWD/target/review"
exec cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml
