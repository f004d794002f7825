#!/bin/sh
# Builds the stand-ins that the scripts start; they use nothing but the standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && exec rustc --edition 2024 -O -o target/review/cases review/standin/main.rs
