#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, from the project's own emulator.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
