#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/case*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O -o "target/review/$name" "$source"
done
