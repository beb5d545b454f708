#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the compiler that builds the project and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/review-2 review/standin-2/main.rs
