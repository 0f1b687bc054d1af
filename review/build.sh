#!/usr/bin/env bash
# Builds the stand-ins of all cases with the compiler alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "bin/$name" "$source"
done
