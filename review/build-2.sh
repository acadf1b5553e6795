#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
