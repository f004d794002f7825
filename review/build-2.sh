#!/bin/sh
# Builds the stand-ins of the second review, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin review/standin-2/main.rs
