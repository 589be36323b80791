#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 and later start. The program itself is built
# by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
