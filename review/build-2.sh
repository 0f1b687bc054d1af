#!/bin/sh
# Builds the stand-ins of the second review, from the root of the repository and without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin-2 review/standin-2/main.rs
