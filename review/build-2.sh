#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in review/standins-2/*.rs; do
  name="$(basename "$name" .rs)"
  [ "$name" = rig ] && continue
  rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done
