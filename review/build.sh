#!/usr/bin/env bash
# Builds the stand-ins and cases of the review: one program of the standard library alone, without cargo and without
# a network. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O review/standin/main.rs -o target/release/larchfall-review
